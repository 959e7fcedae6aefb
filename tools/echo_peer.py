"""A peer in a process of its own that answers each leaf call of a frame with a fixed result.

`grpclib` serves a bidirectional stream on asyncio; `trio` serves frames with a four-byte length
before each on a plain TCP stream. It prints its port and serves until its standard input ends.
"""

from __future__ import annotations

import asyncio
import sys

from typing import Any

import trio

from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Server

from cactussaddle_core import wire
from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import LeafResult
from cactussaddle_node.peers.codec import FrameCodec
from tools.echo_leaf import BODY
from tools.frames import FrameStream

METHOD = "/cactussaddle.Peers/Exchange"


def answer(frame: bytes) -> bytes:
    """Return the frame of results for a frame of calls."""
    calls = wire.decode_frame(frame)
    results = [LeafResult(c.call_id, CallOutcome.OK, BODY, 5.0, 0.1, 0.0) for c in calls]
    return wire.encode_frame(results)


class Exchange:
    """The gRPC service."""

    def __mapping__(self) -> dict[str, Handler]:
        return {METHOD: Handler(self.serve, Cardinality.STREAM_STREAM, bytes, bytes)}

    async def serve(self, stream: Any) -> None:
        """Answer each frame of a stream."""
        while (frame := await stream.recv_message()) is not None:
            await stream.send_message(answer(frame))


async def serve_grpclib() -> None:
    """Serve gRPC until standard input ends."""
    server = Server([Exchange()], codec=FrameCodec())
    await server.start("127.0.0.1", 0)
    listening: Any = server._server
    print(listening.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    server.close()


async def serve_frames(stream: trio.SocketStream) -> None:
    """Answer each frame of a plain stream."""
    frames = FrameStream(stream=stream)
    while (frame := await frames.receive()) is not None:
        await frames.send(answer(frame))


async def serve_trio() -> None:
    """Serve plain streams until standard input ends."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        print(listeners[0].socket.getsockname()[1], flush=True)
        nursery.start_soon(trio.serve_listeners, serve_frames, listeners)
        await trio.to_thread.run_sync(sys.stdin.read)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    if sys.argv[1] == "grpclib":
        asyncio.run(serve_grpclib())
    else:
        trio.run(serve_trio)
