"""A leaf that says in its answers that it is leaving."""

from __future__ import annotations

import unittest

from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.fanout.model import CallEnd
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fanout.model import LeafReply
from cactussaddle_core.fleet.hints import LeavingNote
from cactussaddle_core.fleet.model import LeafNotice
from cactussaddle_core.fleet.probing import ProbeOutcome
from cactussaddle_core.fleet.probing import ProbeResult
from cactussaddle_core.limits.members import RETENTION_S
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World
from tests.core.edge.world import entry
from tests.core.edge.world import leaf_name

NAME = leaf_name("orders", DOMAINS[0])
LEAVING = LeafNotice(leaving=True)


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.world = World()

    def say_leaving(self) -> None:
        """Have the next answer of the leaf say that it is leaving."""
        req_id = self.world.ask(b"/o/1")
        (call,) = self.world.calls_of(req_id)
        self.assertEqual(call.leaf.name, NAME)
        reply = LeafReply(200, (), b"", "sig")
        end = CallEnd(call.call_id, CallEnding.ANSWERED, "", reply, notice=LEAVING)
        self.world.feed(ev.CallEnded(end))

    def calls_to_leaf(self, seconds: float = 2.0) -> int:
        before = len(self.world.sent)
        self.world.load(20.0, seconds, b"/o/1")
        return sum(leaf == NAME for _, leaf, _ in self.world.sent[before:])

    def test_a_leaf_that_says_it_leaves_without_a_word_in_the_store_is_called_again(self):
        self.assertGreater(self.calls_to_leaf(), 0)
        self.say_leaving()
        self.assertEqual(self.calls_to_leaf(), 0)

    def test_an_old_entry_brings_a_leaving_leaf_back(self):
        self.say_leaving()
        self.world.feed(ev.LeafChanged(entry("orders", DOMAINS[0], sequence=2)))
        self.assertEqual(self.calls_to_leaf(), 0)

    def test_an_old_listing_brings_a_leaf_back_that_has_left(self):
        self.say_leaving()
        self.world.feed(ev.LeafRemoved(NAME))
        self.world.run(RETENTION_S)
        self.assertNotIn(NAME, self.world.state.fleet.leaves)
        self.world.feed(ev.LeafChanged(entry("orders", DOMAINS[0])))
        self.assertEqual(self.calls_to_leaf(), 0)

    def test_a_new_start_of_the_leaf_is_called(self):
        self.say_leaving()
        self.world.feed(ev.LeafChanged(entry("orders", DOMAINS[0], born_ms=2)))
        self.assertGreater(self.calls_to_leaf(), 0)

    def test_a_late_answer_without_the_notice_does_not_bring_it_back(self):
        self.say_leaving()
        leaf = self.world.leaf("orders", DOMAINS[0])
        self.world.state.fleet.notice_given(leaf, LeafNotice(), self.world.now)
        self.assertEqual(self.calls_to_leaf(), 0)

    def test_a_health_answer_counts(self):
        health = ProbeResult(
            ProbeOutcome.ANSWERED, NAME, healthy=False, cold_left_s=None, work_s=0.0, notice=LEAVING
        )
        self.world.feed(ev.ProbeEnded(NAME, health))
        self.assertEqual(self.calls_to_leaf(), 0)

    def test_other_nodes_are_told_once(self):
        self.say_leaving()
        self.world.run(1.0)
        sent = [effect for effect in self.world.effects if isinstance(effect, fx.SendLeaving)]
        self.assertEqual([effect.notes for effect in sent], [(LeavingNote(NAME, 1),)])

    def test_what_other_nodes_tell_counts_for_that_start_only(self):
        self.world.feed(ev.LeavingHeard((LeavingNote(NAME, 7), LeavingNote("unknown", 1))))
        self.assertGreater(self.calls_to_leaf(), 0)
        self.world.feed(ev.LeavingHeard((LeavingNote(NAME, 1),)))
        self.assertEqual(self.calls_to_leaf(), 0)


if __name__ == "__main__":
    unittest.main()
