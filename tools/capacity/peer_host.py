"""A node's peer transport alone, in a process of its own; serves until its standard input ends."""

from __future__ import annotations

import sys
import time

import trio
import trio_asyncio

from cactussaddle_node.peers.transport import PeerIdentity
from cactussaddle_node.peers.transport import PeerTransport
from tools.capacity.free_port import free_port


def make_transport(name: str, port: int, host: str = "127.0.0.1") -> PeerTransport:
    """Return a transport that drops what it receives."""
    return PeerTransport(
        identity=PeerIdentity(name, 1, f"127.0.0.1:{port}"),
        listen_host=host,
        listen_port=port,
        clock=time.monotonic,
        on_message=lambda node, message: None,
        on_down=lambda node: None,
    )


async def serve() -> None:
    """Accept streams."""
    port = free_port()
    async with trio_asyncio.open_loop(), make_transport("host", port, "0.0.0.0"):
        print(port, flush=True)
        await trio.to_thread.run_sync(sys.stdin.read)


if __name__ == "__main__":
    trio.run(serve)
