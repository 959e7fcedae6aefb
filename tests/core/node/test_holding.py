from __future__ import annotations

import unittest

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import LeafCall
from cactussaddle_core.calls import LeafResult
from cactussaddle_core.hold import HoldSnapshot
from cactussaddle_core.hold import Strike
from cactussaddle_core.hold import Verdict
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.events import PeerMessage
from cactussaddle_core.node.holding import verdicts
from cactussaddle_core.node.reduce import reduce
from tests.core.node.world import WALL
from tests.core.node.world import World

CRASHING = 7
NAME = f"{CRASHING:016x}"
CRASHES = HoldSnapshot((Strike(NAME, "s1-0", "1"), Strike(NAME, "s1-1", "1")), ())


class HoldingTest(unittest.TestCase):
    def setUp(self):
        self.world = World(nodes=2, seed=1, loss=0.0)
        self.world.accept(["n0", "n1"])
        self.world.run(3.0)

    def verdict(self, node: str, fingerprint: int = CRASHING) -> Verdict:
        return self.world.nodes[node].queries.verdict(fingerprint, self.world.now)

    def strike(self) -> None:
        """Merge two crashes, recorded by a node that has since left, into all present nodes."""
        for state in self.world.nodes.values():
            state.hold.merge(CRASHES, self.world.now)

    def test_a_later_started_node_holds_requests_recorded_by_departed_nodes(self):
        self.strike()
        self.world.run(60.0)
        self.world.start("n2")
        self.world.run(3.0)
        self.assertIs(self.verdict("n2"), Verdict.HOLD)
        kept = self.world.nodes["n0"].hold.retry_after_s(NAME, self.world.now)
        received = self.world.nodes["n2"].hold.retry_after_s(NAME, self.world.now)
        self.assertAlmostEqual(kept, received, delta=1.0)

    def test_when_staged_a_request_not_known_to_succeed_goes_to_one_leaf_first(self):
        state, now = self.world.nodes["n0"], self.world.now
        staged = verdicts(state, staged=True)
        self.assertIs(self.verdict("n0", 1), Verdict.ALLOW)
        self.assertIs(staged(1, now), Verdict.TRY_FIRST)
        state.hold.succeeded(f"{1:016x}", "s1-0", now)
        self.assertIs(staged(1, now), Verdict.ALLOW)

    def test_an_owner_refuses_a_call_in_flight_if_its_request_is_held(self):
        self.strike()
        call = LeafCall(1, "s1-2", "r", 1, 500.0, 0, CRASHING, "", b"{}")
        state = self.world.nodes["n0"]
        (effect,) = reduce(state, PeerMessage("n1", call), self.world.now, WALL)
        assert isinstance(effect, SendPeer) and isinstance(effect.message, LeafResult)
        self.assertIs(effect.message.outcome, CallOutcome.HELD)
