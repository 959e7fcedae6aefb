"""Roll-outs on one node: which leaves get calls, and the messages and records it sends."""

from __future__ import annotations

import unittest

from cactussaddle_core.config.model import MoveState
from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge import logevents as log
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.rollouts.model import LeaderUpdate
from cactussaddle_core.rollouts.model import MoveShare
from cactussaddle_core.rollouts.model import RecordRollout
from cactussaddle_core.rollouts.model import RolloutOrder
from cactussaddle_core.rollouts.model import RolloutStatus
from tests.core.edge.leafbehavior import ending
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World
from tests.core.edge.world import entry

ORDER = RolloutOrder("orders", "v2", 12.0, 40)


class RollingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(nodes=1)
        self.world.run(4.0)

    def start(self) -> None:
        self.world.feed(ev.RolloutOrdered(ORDER))
        for domain in DOMAINS:
            new = entry("orders", domain, leaf=f"new-{domain}", version="v2")
            self.world.feed(ev.LeafChanged(new))

    def calls(self, since: float = 0.0) -> dict[str, int]:
        found = {"old": 0, "new": 0}
        for at, leaf, _ in self.world.sent:
            if at >= since and leaf.startswith(("orders-", "new-")):
                found["new" if leaf.startswith("new-") else "old"] += 1
        return found

    def recorded(self) -> list[MoveState]:
        return [e.state for e in self.world.effects if isinstance(e, RecordRollout)]

    def test_the_new_version_gets_a_small_share_at_first(self) -> None:
        self.start()
        self.world.load(40.0, 4.0, b"/o/x")
        calls = self.calls()
        self.assertGreater(calls["new"], 0)
        self.assertLess(calls["new"] / (calls["new"] + calls["old"]), 0.2)
        self.assertIn(MoveState.UNDER_WAY, self.recorded())

    def test_a_good_version_gets_all_calls_and_is_recorded_as_done(self) -> None:
        self.start()
        self.world.load(40.0, 11.0, b"/o/x")
        self.assertIn(MoveState.DONE, self.recorded())
        self.world.feed(ev.RolloutStatusSeen(RolloutStatus("orders", "v2", MoveState.DONE, 50)))
        since = self.world.now
        self.world.load(40.0, 2.0, b"/o/x")
        self.assertEqual(self.calls(since)["old"], 0)

    def test_a_failing_version_gets_no_more_calls(self) -> None:
        for domain in DOMAINS:
            self.world.behaviors[f"new-{domain}"] = ending(CallEnding.FAILED)
        self.start()
        self.world.load(40.0, 7.0, b"/o/x")
        self.assertLess(self.calls()["new"], 50)
        found = [note for note in self.world.notes if isinstance(note, log.VersionBad)]
        self.assertEqual([note.rollout for note in found], [ORDER.move])
        self.assertIn(MoveState.TAKEN_BACK, self.recorded())
        since = self.world.now
        self.world.load(40.0, 3.0, b"/o/x")
        self.assertEqual(self.calls(since)["new"], 0)

    def test_a_failure_of_the_new_version_is_retried_at_the_old_one(self) -> None:
        for domain in DOMAINS:
            self.world.behaviors[f"new-{domain}"] = ending(CallEnding.FAILED)
        self.start()
        asked = self.world.load(40.0, 4.0, b"/o/x")
        self.assertGreater(self.calls()["new"], 0)
        kinds = {self.world.done[req_id].kind for req_id in asked}
        self.assertEqual(kinds, {"relayed 200"})

    def test_a_removed_order_lifts_the_restriction(self) -> None:
        self.start()
        self.world.feed(ev.RolloutCleared("orders"))
        since = self.world.now
        self.world.load(40.0, 3.0, b"/o/x")
        self.assertGreater(self.calls(since)["new"], 10)

    def test_the_leader_sends_the_shares_to_all_members(self) -> None:
        world = World(nodes=8)
        world.run(4.0)
        world.feed(ev.RolloutOrdered(ORDER))
        leads = world.state.rollouts.leads(world.now)
        world.run(1.0)
        sent = [effect for effect in world.effects if isinstance(effect, fx.SendLeaderUpdate)]
        self.assertEqual(bool(sent), leads or world.state.rollouts.leads(world.now))
        leader = world.state.rollouts._coordinators[0]
        world.feed(ev.RolloutNewsHeard(LeaderUpdate(leader, (MoveShare(ORDER.move, 0.4),), b"")))
        if leader != "node-0":
            self.assertEqual(world.state.rollouts.share(ORDER, world.now), 0.4)


if __name__ == "__main__":
    unittest.main()
