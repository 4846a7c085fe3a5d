"""Reads and writes HTTP/1.1 messages on asyncio streams, for the stand-ins of tests."""
import asyncio
import random
import socket
import struct


def free_port():
    """Returns a port below those that the system gives to outgoing connections: one of these took a port before its gateway listened."""
    while True:
        with socket.socket() as probe:
            port = random.randrange(15000, 32000)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


async def read_message(reader):
    """Reads one HTTP/1.1 message. Returns start line, header (lower case names) and body.

    Returns None when the connection closes before the end of the header, and raises IncompleteReadError when it closes later.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    header = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            header[name.strip().lower()] = value.strip()
    if header.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return lines[0], header, body
    return lines[0], header, await reader.readexactly(int(header.get("content-length", 0)))


def make_response(status, header=None, body=b"", close=False):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (header or {}).items()]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset_connection(writer):
    """Closes a connection with a reset. Without lingering off, the other side would see an ordinary end of the data."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class RecordingReader:
    """Reads from a stream and appends all bytes read to `record`."""

    def __init__(self, reader, record):
        self.reader, self.record = reader, record

    async def read(self, size):
        return self.kept(await self.reader.read(size))

    async def readexactly(self, size):
        return self.kept(await self.reader.readexactly(size))

    async def readuntil(self, separator):
        return self.kept(await self.reader.readuntil(separator))

    def kept(self, data):
        self.record += data
        return data
