"""The path of one gateway to the platform's store."""
import asyncio


class StoreLink:
    """Forwards the connections of one gateway to the store. While `cut` is set it drops all bytes without a reset, as a partition does."""

    def __init__(self, store_address):
        self.store_host, self.store_port = store_address.split(":")
        self.cut = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        store_reader, store_writer = await asyncio.open_connection(self.store_host, int(self.store_port))
        await asyncio.gather(self.forward(reader, store_writer), self.forward(store_reader, writer), return_exceptions=True)

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if not self.cut:
                    writer.write(data)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
