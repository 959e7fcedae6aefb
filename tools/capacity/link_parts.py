"""Costs of streams between nodes: idle ones with their proof of life, and messages on them."""

from __future__ import annotations

import resource
import subprocess
import sys
import time

from typing import NamedTuple

import trio
import trio_asyncio

from cactussaddle_core.wire import LinkPing
from tools.capacity.free_port import free_port
from tools.capacity.peer_host import make_transport
from tools.child import child_server
from tools.measure_streams import drive_bridge

OPEN_BOUND_S = 10.0
SETTLE_S = 1.5
IDLE_S = 2.0


class Idle(NamedTuple):
    """What a node's open streams cost it: CPU microseconds a second, bytes of memory."""

    cpu_us_per_s: float
    memory_bytes: float
    bytes_per_s: float


async def _idle(streams: int, ports: list[int]) -> Idle:
    async with trio_asyncio.open_loop(), make_transport("dialler", free_port()) as transport:
        before = resident_bytes()
        for number in range(streams):
            # Each loopback number reaches the same process, as another address.
            address = f"127.0.0.{number % 200 + 1}:{ports[number // 200]}"
            transport.send(f"peer-{number}", address, LinkPing(0))
        with trio.fail_after(OPEN_BOUND_S):
            while sum(link.received_bytes > 0 for link in transport.links) < streams:
                await trio.sleep(0.05)
        await trio.sleep(SETTLE_S)
        memory = resident_bytes() - before
        sent = sum(link.sent_bytes for link in transport.links)
        began, cpu = time.monotonic(), time.process_time()
        await trio.sleep(IDLE_S)
        took, used = time.monotonic() - began, time.process_time() - cpu
        size = sum(link.sent_bytes for link in transport.links) - sent
        return Idle(used * 1e6 / took, memory, size / took)


def main() -> None:
    """Print the cost of idle streams; run in a process of its own, so that memory is its own."""
    streams = int(sys.argv[1])
    ports = [int(text) for text in sys.argv[2:]]
    print(*trio.run(_idle, streams, ports))


def idle(streams: int) -> Idle:
    """Measure a process with this many dialled streams and nothing to say."""
    with child_server("tools.capacity.peer_host") as port:
        argv = [sys.executable, "-m", "tools.capacity.link_parts", str(streams), str(port)]
        done = subprocess.run(argv, check=True, capture_output=True, text=True)
    return Idle(*map(float, done.stdout.split()))


def frame_us(calls: int) -> float:
    """Return CPU microseconds of one message of `calls` leaf calls and its answer."""
    with child_server("tools.echo_peer", "grpclib") as port:
        return trio.run(drive_bridge, port, max(30, 2000 // calls), calls) * calls


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


if __name__ == "__main__":
    main()
