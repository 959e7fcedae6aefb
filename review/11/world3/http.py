"""A small HTTP/1.1 server and client on asyncio."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REASON = "Reason"
GONE = (ConnectionError, asyncio.IncompleteReadError, OSError)


class Request(NamedTuple):
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response; `Content-Length` is added when it is sent."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Connection:
    """One accepted connection; `peer` is the address at its other end."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.peer = str(writer.get_extra_info("peername")[0])

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()

    async def send(self, res: Response) -> None:
        """Send a response."""
        await self.send_raw(encode_response(res))

    async def send_raw(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()


Handler = Callable[[Connection, Request], Awaitable["Response | None"]]


class Server:
    """A listener; a handler that returns None has answered itself, or never will."""

    def __init__(self, *, handler: Handler) -> None:
        self.connections: set[Connection] = set()
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address; port 0 takes a free one, which is returned."""
        self._server = await asyncio.start_server(self._accept, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = Connection(reader=reader, writer=writer)
        self.connections.add(conn)
        try:
            while await self._serve_one(conn):
                pass
        except (asyncio.CancelledError, *GONE):
            pass
        finally:
            self.connections.discard(conn)
            writer.close()

    async def _serve_one(self, conn: Connection) -> bool:
        req = await read_request(conn.reader)
        if req is None:
            return False
        work = asyncio.ensure_future(self._handler(conn, req))
        left = asyncio.ensure_future(_wait_end(conn.reader))
        await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
        left.cancel()
        if not work.done():
            # The peer has closed the connection: its request is dropped.
            work.cancel()
            return False
        res = work.result()
        if res is not None:
            await conn.send(res)
        return res is not None


async def _wait_end(reader: asyncio.StreamReader) -> None:
    """Wait until the peer has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a first line and the headers; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    body = await reader.readexactly(int(head[1].get("content-length", "0")))
    return Request(method, target, head[1], body)


async def read_response(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read a response that has a length; raises one of `GONE` if it is not complete."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError("closed without an answer")
    status = int(head[0].split(" ")[1])
    body = await reader.readexactly(int(head[1].get("content-length", "0")))
    return status, head[1], body


def encode_response(res: Response) -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {res.status} {REASON}"]
    lines += [f"{name}: {value}" for name, value in res.headers]
    lines.append(f"Content-Length: {len(res.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + res.body


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a request with a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
