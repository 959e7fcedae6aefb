"""What all nodes together send to leaves that have just started, whatever each of them knows (review/4)."""

from __future__ import annotations

import random
import unittest

from cactussaddle_core.edge import events as ev
from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.fleet.probing import ProbeOutcome
from cactussaddle_core.fleet.probing import ProbeResult
from tests.core.edge.coldworld import COLD_PER_S
from tests.core.edge.coldworld import COLD_S
from tests.core.edge.coldworld import ColdWorld

# The bound of the users' pages: `cold_per_s` x `cold_over` + `cold_slack`.
ALLOWED = COLD_PER_S * 1.5 + 5.0
RUNS = 12


class ColdLeavesTest(unittest.TestCase):
    """No order of events overruns a cold leaf (FAILBACK)."""

    def check(self, seed: int, *, lag_s: float, accept_s: float, restarts: bool = False) -> None:
        rng = random.Random(seed)
        nodes = rng.randrange(2, 14)
        world = ColdWorld(seed=seed, nodes=nodes, per_s=rng.uniform(60.0, 200.0), lag_s=lag_s)
        world.serve(0.5)
        world.crash()
        world.serve(rng.uniform(0.2, 1.5))
        for leaf in world.leaves.values():
            leaf.accept_s = accept_s
        if restarts:
            world.restart_after_lapse()
        world.come_back()
        world.serve(COLD_S)
        for leaf in world.leaves.values():
            with self.subTest(seed=seed, nodes=nodes, leaf=leaf.name):
                self.assertLessEqual(leaf.worst_second(), ALLOWED)

    def test_nodes_that_read_late_that_a_leaf_has_started_overrun_it(self) -> None:
        for seed in range(RUNS):
            self.check(seed, lag_s=random.Random(seed).uniform(0.05, 1.5), accept_s=0.0)

    def test_calls_that_wait_on_the_way_overrun_it(self) -> None:
        for seed in range(RUNS):
            self.check(100 + seed, lag_s=0.8, accept_s=0.9)

    def test_nodes_that_start_anew_while_leases_have_ended_overrun_it(self) -> None:
        for seed in range(RUNS):
            self.check(200 + seed, lag_s=0.2, accept_s=0.0, restarts=True)


class DoubtTest(unittest.TestCase):
    """A leaf that may have started again counts as cold until a probe shows that it is not."""

    def setUp(self) -> None:
        self.world = ColdWorld(seed=1, nodes=2, per_s=100.0, lag_s=9.0)
        self.world.serve(0.5)
        self.node = self.world.nodes[0]
        self.met = next(iter(self.world.leaves.values()))

    def leaf(self):
        return self.node.state.fleet.leaves[self.met.name]

    def test_an_answer_to_a_call_does_not_show_that_a_leaf_is_warm(self) -> None:
        self.leaf().suspect(Availability.DOWN, self.node.now)
        self.leaf().answered(self.node.now)
        self.assertTrue(self.leaf().may_be_cold(self.node.now))

    def test_a_probe_sent_before_the_doubt_does_not_show_it_either(self) -> None:
        self.leaf().probe_began(self.node.now)
        self.leaf().doubt(self.node.now + 0.01)
        health = ProbeResult(ProbeOutcome.ANSWERED, self.met.name, True, None, 0.007)
        self.node.feed(ev.ProbeEnded(self.met.name, health))
        self.assertTrue(self.leaf().is_doubted)

    def test_a_dropped_connection_is_a_sign_and_a_probe_follows_once_a_call_is_held_up(
        self,
    ) -> None:
        self.node.feed(ev.ConnectionDropped(self.met.name))
        self.assertTrue(self.leaf().may_be_cold(self.node.now))
        share = self.node.state.cold_calls(self.leaf(), self.node.now)
        for _ in range(int(share)):
            self.leaf().cold_meter.record_call(self.node.now)
        self.assertFalse(self.node.state.may_send(self.leaf(), self.node.now))
        self.node.run(0.1)
        self.assertFalse(self.leaf().may_be_cold(self.node.now))
        self.assertTrue(self.node.state.may_send(self.leaf(), self.node.now))

    def test_calls_before_and_after_a_restart_became_known_count_together(self) -> None:
        before = self.leaf()
        before.cold_meter.record_call(self.node.now)
        self.node.feed(ev.LeafRemoved(self.met.name))
        self.node.run(0.15)
        self.assertNotIn(self.met.name, self.node.state.fleet.leaves)
        self.met.born += 1
        self.node.feed(ev.LeafChanged(self.met.entry(self.node.now)))
        self.assertIs(self.leaf().cold_meter, before.cold_meter)


if __name__ == "__main__":
    unittest.main()
