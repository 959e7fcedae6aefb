"""A stand-in of the platform's balancer: nodes that aren't ready get no new connections, if enough are."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests.soak.nodes import READY_PORT

if TYPE_CHECKING:
    import random

    from tests.soak.nodes import NodeProcess

POLL_S = 1.0
ANSWER_S = 0.5
MISSES = 2
READY_REQUEST = b"GET /cactussaddle/ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n"


class Balancer:
    """Asks each node once a second; two misses in a row take it out until it is ready again.

    If fewer than half of a failure domain's nodes are in, all of them are used.
    """

    def __init__(self, *, nodes: list[NodeProcess], rng: random.Random) -> None:
        self._nodes = nodes
        self._rng = rng
        self._misses = {node.name: 0 for node in nodes}

    async def run(self) -> None:
        """Ask the nodes until cancelled."""
        async with trio.open_nursery() as nursery:
            for node in self._nodes:
                nursery.start_soon(self._watch, node)

    def choose(self, domain: str) -> NodeProcess:
        """Return the node for a new connection from a failure domain."""
        near = [node for node in self._nodes if node.domain == domain]
        used = [node for node in near if self._misses[node.name] < MISSES]
        return self._rng.choice(used if 2 * len(used) >= len(near) else near)

    async def _watch(self, node: NodeProcess) -> None:
        await trio.sleep(POLL_S * self._rng.random())
        while True:
            is_ready = await _is_ready(node)
            self._misses[node.name] = 0 if is_ready else self._misses[node.name] + 1
            await trio.sleep(POLL_S)


async def _is_ready(node: NodeProcess) -> bool:
    with trio.move_on_after(ANSWER_S):
        try:
            async with await trio.open_tcp_stream(node.ip, READY_PORT) as stream:
                await stream.send_all(READY_REQUEST)
                return b" 200 " in await stream.receive_some()
        except (OSError, trio.BrokenResourceError):
            return False
    return False
