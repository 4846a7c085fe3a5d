"""Stand-in for the store of the users' platform, and for a network link to it. Part of platform_standin.py."""
import asyncio
import base64
import json
import time

from http_streams import make_response, read_message


class Store:
    """Key-value store with revisions. Clients read it by prefix and watch for changes after a revision.

    The store can come back with an older copy of its state, see come_back(). Each time its era, which stands in the header of all answers,
    increases by one.
    """

    def __init__(self):
        self.era = 1  # None: answers tell no era.
        self.items = {}
        self.history = []
        self.oldest_revision = 0
        self.revision = 1
        self.changed = asyncio.Event()
        self.down = False  # When set, connections are closed without an answer.
        self.refusing = False  # When set, calls are answered with 503.
        self.calls = 0
        self.lists_begun = 0
        self.writers = set()

    def put(self, key, value):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision, "created": self.revision, "lease": 0}
        self.items[key] = item
        self.history.append(item)
        self.wake_watchers()

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        self.wake_watchers()

    def compact_history(self):
        """Drops all past events, so that a watch that starts after an older revision gets 410."""
        self.history.clear()
        self.oldest_revision = self.revision
        self.wake_watchers()

    def copy(self):
        """Returns a copy of the state, for come_back()."""
        return dict(self.items), list(self.history), self.oldest_revision, self.revision

    def come_back(self, copy, keeps_history=True):
        """Replaces the state by an older copy, in the next era. Open connections break. Without `keeps_history`, watches from revisions
        before the one of the copy get 410 as well as those after it.
        """
        self.items, self.history, self.oldest_revision, self.revision = dict(copy[0]), list(copy[1]), copy[2], copy[3]
        self.era = (self.era or 0) + 1
        for writer in list(self.writers):
            writer.transport.abort()
        if not keeps_history:
            self.history.clear()
            self.oldest_revision = self.revision
        self.wake_watchers()

    def wake_watchers(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.answer_requests(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer_requests(self, reader, writer):
        while message := await read_message(reader):
            self.calls += 1
            if self.down:
                break
            target = message[0].split(" ")[1]
            path, _, query = target.partition("?")
            parameters = dict(part.partition("=")[::2] for part in query.split("&") if part)
            prefix = parameters.get("prefix", "").replace("%2F", "/")
            if self.refusing:
                status, body = 503, {}
            elif path == "/kv-range":
                after = parameters.get("after", "").replace("%2F", "/")
                self.lists_begun += prefix == "op/" and not after
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
                page = keys[:7]  # Small pages, so that each list takes several of them.
                body = {"items": [self.items[key] for key in page], "has_more": len(keys) > len(page), "store_revision": self.revision}
                status = 200
            else:
                status, body = await self.watch(prefix, int(parameters["after"]), int(parameters["wait_ms"]))
            if self.down:
                break
            header = {"Content-Type": "application/json"}
            if self.era is not None:
                header["Store-Era"] = self.era
            writer.write(make_response(status, header, json.dumps(body).encode()))

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if after < self.oldest_revision or after > self.revision:
                return 410, {}
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(prefix)]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass


class StoreLink:
    """A network link between one gateway and the store. While it is `cut`, bytes in both directions are lost, on open and on new
    connections.
    """

    def __init__(self, store_address):
        self.store_address = store_address
        self.cut = False
        self.calls = 0  # Requests of the gateway, lost ones included.

    async def start(self):
        """Returns the address at which the gateway reads the store."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        host, port = self.store_address.split(":")
        try:
            store_reader, store_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self.pass_on(reader, store_writer, True), self.pass_on(store_reader, writer, False))
        except (ConnectionError, asyncio.CancelledError):
            writer.close()

    async def pass_on(self, reader, writer, to_store):
        try:
            while data := await reader.read(65536):
                self.calls += data.count(b"GET /kv-") if to_store else 0
                if not self.cut:
                    writer.write(data)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
