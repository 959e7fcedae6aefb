"""A lean leaf in a process of its own: answers each call with a fixed body.

It prints its port and serves until its standard input ends.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec

HITS = 10
BODY = msgspec.json.encode(
    {
        "leaf": "taller-search-01-a",
        "incarnation": "i1",
        "snapshot": 7,
        "shards": [0, 1],
        "of": 2,
        "hits": [{"id": f"pattern-{n}", "score": 1.0 / (n + 1)} for n in range(HITS)],
    }
)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
ANSWER = HEAD % len(BODY) + BODY


class EchoLeaf(asyncio.Protocol):
    """Answers each whole request on a connection; requests are not pipelined."""

    def __init__(self) -> None:
        self._seen = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer once the whole request is there."""
        self._seen += data
        head, found, body = self._seen.partition(b"\r\n\r\n")
        if not found or len(body) < content_length(head):
            return
        self._seen = b""
        assert self._transport is not None
        self._transport.write(ANSWER)


def content_length(head: bytes) -> int:
    """Return the body length that a request's head names."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


async def serve() -> None:
    """Serve until standard input ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(EchoLeaf, "127.0.0.1", 0, backlog=512)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve())
