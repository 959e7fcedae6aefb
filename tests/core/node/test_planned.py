from __future__ import annotations

import unittest

import msgspec

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.node import planned
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.owner.book import CallEnd
from cactussaddle_core.warmup import LeafLimit
from tests.core.node.world import WALL
from tests.core.node.world import World
from tests.core.node.world import config

SETTLE_S = 6.0


def with_moves(world: World, *moves: dict) -> None:
    """Apply the moves on every node; their start and finish are relative to the present time."""
    world.accepted += 1
    doc = msgspec.json.decode(config(world.accepted))
    start = WALL + world.now
    doc["moves"] = [
        {**move, "start": start + move["start"], "finish": start + move["finish"]} for move in moves
    ]
    for name in world.nodes:
        world.feed(name, DocSeen("config", msgspec.json.encode(doc), "store"))


class FinalTest(unittest.TestCase):
    def test_a_final_state_is_recorded_with_the_row(self):
        world = World(nodes=1, seed=1, loss=0.0)
        move = {"id": "m", "kind": "domain-out", "target": "d1", "start": 0.0, "finish": 60.0}
        with_moves(world, move)
        world.run(SETTLE_S)
        self.assertEqual({effect.row for effect in world.recorded}, {"domain-out d1"})


class ColdLeafTest(unittest.TestCase):
    def setUp(self):
        self.world = World(nodes=1, seed=1, loss=0.0)
        leaves = [
            {
                "name": f"new-{number}",
                "service": "s1",
                "domain": "d1",
                "address": f"127.0.0.1:{9100 + number}",
                "version": "v2",
            }
            for number in range(3)
        ]
        version = {"id": "m", "kind": "version", "target": "s1", "version": "v2", "leaves": leaves}
        with_moves(self.world, {**version, "start": 1.0, "finish": 601.0})
        self.world.run(SETTLE_S)
        self.state = self.world.nodes["n0"]
        self.state.limits["new-0"] = LeafLimit(slots=4)
        self.calls("s1-0", 0.02, 50)

    def calls(
        self, leaf: str, latency_s: float, count: int, outcome: CallOutcome = CallOutcome.OK
    ) -> None:
        """End calls at a leaf, one every half second for leaves of the new version."""
        end = CallEnd(outcome, latency_s, "1")
        for _ in range(count):
            if leaf.startswith("new"):
                self.world.now += 0.5
            now, wall = self.world.now, WALL + self.world.now
            planned.outcome_seen(self.state, leaf, "r", end, now, wall)

    def evidence(self):
        return self.state.moves.own[("m", "r")].new["new-0"]

    def test_a_cold_leaf_may_be_slower_at_first(self):
        self.calls("new-0", 0.05, 5)
        self.assertEqual((self.evidence().calls, self.evidence().slow), (5, 0))

    def test_a_leaf_considered_warm_by_its_calls_may_be_slower_until_its_time_is_over(self):
        self.calls("new-0", 0.05, 5)
        del self.state.limits["new-0"]
        self.calls("new-0", 0.05, 5)
        self.assertEqual((self.evidence().calls, self.evidence().slow), (10, 0))

    def test_failures_of_a_cold_leaf_count_in_full(self):
        self.calls("new-0", 0.02, 5)
        self.calls("new-0", 0.02, 2, CallOutcome.FAILED)
        self.assertEqual((self.evidence().failures, self.evidence().cold_failures), (2, 0))

    def test_a_leaf_that_never_warms_up_counts_as_slow_after_some_calls_and_time(self):
        self.calls("new-0", 0.02, 80)
        self.calls("new-0", 0.05, 10)
        self.assertEqual(self.evidence().slow, 10)
