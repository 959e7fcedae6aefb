"""The times at which a node requests its next tick."""

from __future__ import annotations

import unittest

import msgspec

from cactussaddle_core.calls import SnapshotInfo
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.events import CallerRequest
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.node.events import HealthSeen
from cactussaddle_core.node.events import Tick
from cactussaddle_core.node.reduce import reduce
from cactussaddle_core.node.state import BUSY_TICK_S
from cactussaddle_core.slots.book import IDLE_PING_INTERVAL_S
from cactussaddle_core.slots.book import PING_INTERVAL_S
from cactussaddle_core.slots.messages import PairPing
from tests.core.node.test_documents import placements
from tests.core.node.world import World

STEP_S = 0.005
SETTLE_S = 10.0
WINDOW_S = 10.0
ROUNDS_PER_S = 4


class TimerTest(unittest.TestCase):
    def setUp(self):
        self.world = World(nodes=3, seed=1, loss=0.0)
        self.ticks = dict.fromkeys(self.world.nodes, 0)
        self.world.accept(list(self.world.nodes))
        placement = placements(3)[2]
        for entry in placement["entries"].values():
            entry["pending"] = []
        for name in self.world.nodes:
            self.world.feed(name, DocSeen("placement", msgspec.json.encode(placement), "store"))
            for leaf in self.world.nodes[name].leaves:
                snapshots = (SnapshotInfo(1, 1, (0,)),)
                self.world.feed(name, HealthSeen(leaf, True, "i1", snapshots))
        self.run_by_due(SETTLE_S)

    def run_by_due(self, seconds: float) -> None:
        """Run for some seconds, with a tick only when one is due on a node."""
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.now += STEP_S
            self.world.deliver()
            for name, state in self.world.nodes.items():
                if self.world.now >= state.next_due():
                    self.ticks[name] += 1
                    self.world.feed(name, Tick())

    def test_an_idle_node_ticks_once_per_round(self):
        self.assertTrue(all(state.ready() for state in self.world.nodes.values()))
        before = dict(self.ticks)
        self.run_by_due(WINDOW_S)
        for name, count in self.ticks.items():
            with self.subTest(name):
                self.assertLessEqual(count - before[name], WINDOW_S * ROUNDS_PER_S)
                self.assertGreaterEqual(count - before[name], WINDOW_S * ROUNDS_PER_S * 0.9)

    def test_a_node_with_a_query_under_way_ticks_soon(self):
        self.world.feed("n0", CallerRequest(1, "r", b"{}", 10, None, None, ""))
        state = self.world.nodes["n0"]
        self.assertLessEqual(state.next_due(), state.ticked_at + BUSY_TICK_S)

    def heartbeats(self, name: str, seconds: float) -> int:
        """Return the number of heartbeats a node sends to its deputies in some seconds."""
        count, until = 0, self.world.now + seconds
        while self.world.now < until:
            self.world.now += STEP_S
            state = self.world.nodes[name]
            for effect in reduce(state, Tick(), self.world.now, self.world.now):
                if isinstance(effect, SendPeer) and isinstance(effect.message, PairPing):
                    count += 1
        return count

    def test_an_owner_with_calls_sends_heartbeats_twice_as_often(self):
        name, *_ = [name for name, state in self.world.nodes.items() if state.slots.owned()]
        idle = self.heartbeats(name, WINDOW_S)
        self.world.nodes[name].owner.where["root", 1] = "s1-0"
        busy = self.heartbeats(name, WINDOW_S)
        self.assertAlmostEqual(idle, WINDOW_S / IDLE_PING_INTERVAL_S, delta=1)
        self.assertAlmostEqual(busy, WINDOW_S / PING_INTERVAL_S, delta=1)

    def test_the_next_tick_is_always_due_after_the_last(self):
        for _ in range(40):
            self.run_by_due(0.1)
            for state in self.world.nodes.values():
                self.assertGreater(state.next_due(), state.ticked_at)


if __name__ == "__main__":
    unittest.main()
