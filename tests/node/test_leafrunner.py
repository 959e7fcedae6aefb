from __future__ import annotations

import socket
import struct
import unittest

from typing import Any

import trio

from cactussaddle_node.leafrunner import ConnectionLimits
from cactussaddle_node.leafrunner import LeafRunner
from tests.node.leafclient.fakeleaf import FakeLeaf
from tests.node.leafclient.fakeleaf import response

HEALTH = b'{"leaf":"a","status":"ready","incarnation":"i1","version":"v1","snapshots":[[7,2,[0]]]}'


LIMITS = ConnectionLimits(lambda leaf: 4, lambda leaf: True, lambda leaf: None)


class LeafRunnerTest(unittest.TestCase):
    def test_a_restart_of_an_idle_leaf_is_detected_before_the_next_call_or_health_check(self):
        events: list[Any] = []
        streams: list[trio.SocketStream] = []

        async def answer(leaf, seen, stream):
            streams.append(stream)
            return response(200, HEALTH)

        async def main():
            async with trio.open_nursery() as nursery:
                leaf = FakeLeaf(answer=answer)
                await nursery.start(leaf.serve)
                runner = LeafRunner(
                    node="n",
                    local_host="127.0.0.1",
                    nursery=nursery,
                    feed=events.append,
                    limits=LIMITS,
                )
                runner.watch({"a": leaf.address})
                await trio.sleep(0.4)
                linger = struct.pack("ii", 1, 0)
                streams[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                await trio.aclose_forcefully(streams[0])
                await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual([type(event).__name__ for event in events], ["HealthSeen", "IdleEnded"])
        self.assertEqual((events[1].leaf, events[1].reset), ("a", True))

    def test_all_connections_to_a_removed_leaf_are_closed(self):
        counted = {"a": 0}
        history = []

        def count(leaf: str, by: int) -> bool:
            counted[leaf] += by
            history.append(counted[leaf])
            return True

        limits = ConnectionLimits(
            allowed=lambda leaf: 4,
            may_open=lambda leaf: count(leaf, 1),
            closed=lambda leaf: (count(leaf, -1), None)[1],
        )

        async def answer(leaf, seen, stream):
            return response(200, HEALTH)

        async def main():
            async with trio.open_nursery() as nursery:
                leaf = FakeLeaf(answer=answer)
                await nursery.start(leaf.serve)
                runner = LeafRunner(
                    node="n",
                    local_host="127.0.0.1",
                    nursery=nursery,
                    feed=lambda event: None,
                    limits=limits,
                )
                runner.watch({"a": leaf.address})
                await trio.sleep(0.2)
                await runner.clients["a"].warm(3, 4)
                self.assertEqual((counted["a"], leaf.open), (3, 3))
                runner.watch({})
                await trio.sleep(0.1)
                self.assertEqual((counted["a"], leaf.open), (0, 0))
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(max(history), 3)
