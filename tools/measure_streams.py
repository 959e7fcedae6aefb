"""CPU of the calling process for one leaf call on one stream between two nodes.

Ways: grpclib on plain asyncio, grpclib inside trio-asyncio, frames on a plain trio stream; each
with several calls a message. Encoding and decoding of `LeafCall` and `LeafResult` included.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time

from typing import Any

import trio
import trio_asyncio

from grpclib.client import Channel
from grpclib.client import StreamStreamMethod
from grpclib.config import Configuration

from cactussaddle_core import wire
from cactussaddle_core.calls import LeafCall
from cactussaddle_node.peers.codec import FrameCodec
from tools.child import child_server
from tools.echo_peer import METHOD
from tools.figures import spread
from tools.figures import table
from tools.frames import FrameStream

BODY = b'{"query": {"text": "monogram", "stretch": 3}, "limit": 10}'
WINDOW_BYTES = 2**24
WARM_UP_FRAMES = 20


def calls_frame(first: int, size: int) -> bytes:
    """Return a frame of `size` leaf calls."""
    calls = [
        LeafCall(first + n, "taller-search-01-a", "taller-search", 7, 70.0, 1, 12345, "", BODY)
        for n in range(size)
    ]
    return wire.encode_frame(calls)


async def drive_grpclib(port: int, frames: int, size: int) -> float:
    """Send frames one after another over one gRPC stream; return CPU microseconds a call."""
    config = Configuration(
        http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
    )
    channel = Channel("127.0.0.1", port, codec=FrameCodec(), config=config)
    try:
        async with StreamStreamMethod(channel, METHOD, bytes, bytes).open() as stream:
            await exchange_grpclib(stream, WARM_UP_FRAMES, size)
            started = time.process_time()
            await exchange_grpclib(stream, frames, size)
            used = time.process_time() - started
            await stream.end()
    finally:
        channel.close()
    return used * 1e6 / (frames * size)


async def exchange_grpclib(stream: Any, frames: int, size: int) -> None:
    """Exchange `frames` frames."""
    for number in range(frames):
        await stream.send_message(calls_frame(number * size, size))
        results = wire.decode_frame(await stream.recv_message())
        assert len(results) == size


async def drive_bridge(port: int, frames: int, size: int) -> float:
    """Run the same inside trio-asyncio."""
    async with trio_asyncio.open_loop():
        used = await trio_asyncio.aio_as_trio(drive_grpclib)(port, frames, size)
    return float(used)


async def drive_trio(port: int, frames: int, size: int) -> float:
    """Send frames one after another over one plain stream; return CPU microseconds a call."""
    async with await trio.open_tcp_stream("127.0.0.1", port) as tcp:
        stream = FrameStream(stream=tcp)
        await exchange_trio(stream, WARM_UP_FRAMES, size)
        started = time.process_time()
        await exchange_trio(stream, frames, size)
        used = time.process_time() - started
    return used * 1e6 / (frames * size)


async def exchange_trio(stream: FrameStream, frames: int, size: int) -> None:
    """Exchange `frames` frames."""
    for number in range(frames):
        await stream.send(calls_frame(number * size, size))
        frame = await stream.receive()
        assert frame is not None
        assert len(wire.decode_frame(frame)) == size


def codec_only(frames: int, size: int) -> float:
    """Return CPU microseconds a call of encoding calls and decoding results alone."""
    from tools.echo_peer import answer

    reply = answer(calls_frame(0, size))
    started = time.process_time()
    for number in range(frames):
        calls_frame(number, size)
        wire.decode_frame(reply)
    return (time.process_time() - started) * 1e6 / (frames * size)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--calls", type=int, default=3200)
    parser.add_argument("--sizes", type=int, nargs="+", default=[1, 8, 32, 128])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    rng = random.Random(args.seed)
    results: dict[tuple[str, int], list[float]] = {}
    with (
        child_server("tools.echo_peer", "grpclib") as grpc_port,
        child_server("tools.echo_peer", "trio") as trio_port,
    ):
        ways = {
            "grpclib on asyncio": lambda n, s: asyncio.run(drive_grpclib(grpc_port, n, s)),
            "grpclib in trio-asyncio": lambda n, s: trio.run(drive_bridge, grpc_port, n, s),
            "frames on a plain trio stream": lambda n, s: trio.run(drive_trio, trio_port, n, s),
            "encoding and decoding alone": codec_only,
        }
        for _ in range(args.rounds):
            pairs = [(name, size) for name in ways for size in args.sizes]
            rng.shuffle(pairs)
            for name, size in pairs:
                used = ways[name](max(10, args.calls // size), size)
                results.setdefault((name, size), []).append(used)
    rows = [(name, *(spread(results[name, size]).text() for size in args.sizes)) for name in ways]
    print(table(("us of CPU a leaf call", *(f"{size} a message" for size in args.sizes)), rows))


if __name__ == "__main__":
    main()
