"""Trials of held requests: one part at one leaf first, and the others when it has survived."""

from __future__ import annotations

import unittest

from cactussaddle_core.edge import events as ev
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.hold.trials import RemoveTrial
from cactussaddle_core.hold.trials import TrialRecord
from cactussaddle_core.hold.trials import WriteTrial
from tests.core.edge.leafbehavior import CallOutcome
from tests.core.edge.leafbehavior import unresponsive
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World
from tests.core.edge.world import leaf_name

SUSPECT = "suspect"


def ends(ending: CallEnding):
    return lambda now, rng: CallOutcome(0.002, ending)


class TrialTest(unittest.TestCase):
    def setUp(self):
        self.world = World()
        record = TrialRecord(SUSPECT, 0, ("s4",), 1)
        self.world.feed(ev.TrialsListed((record,)))
        self.world.run(1.0)

    def set_service(self, service: str, behavior) -> None:
        for domain in DOMAINS:
            self.world.behaviors[leaf_name(service, domain)] = behavior

    def try_it(self, seconds: float = 0.0) -> int:
        """Send the suspect, have its trial permitted, and run for a time."""
        req_id = self.world.ask(b"/s/x", fingerprint=SUSPECT)
        write = [effect for effect in self.world.effects if isinstance(effect, WriteTrial)][-1]
        self.world.feed(ev.TrialWritten(write, 2))
        self.world.run(seconds)
        return req_id

    def services(self, req_id: int) -> list[str]:
        return [call.part.service for call in self.world.calls_of(req_id)]

    def test_the_first_call_goes_to_an_implicated_service_alone(self):
        self.assertEqual(self.services(self.try_it()), ["s4"])

    def test_the_other_parts_follow_the_first_answer(self):
        req_id = self.try_it(1.0)
        self.assertEqual(len(set(self.services(req_id))), 10)
        self.assertEqual(self.world.done[req_id].kind, "merged")
        self.assertIn(RemoveTrial(SUSPECT, 2), self.world.effects)

    def test_a_call_that_breaks_ends_the_trial_without_a_retry(self):
        self.set_service("s4", ends(CallEnding.BROKEN))
        req_id = self.try_it(0.5)
        self.assertEqual(self.services(req_id), ["s4"])
        self.assertTrue(self.world.done[req_id].ran)
        removals = [effect for effect in self.world.effects if isinstance(effect, RemoveTrial)]
        self.assertEqual(removals, [])

    def test_a_silent_leaf_gets_no_hedge(self):
        self.set_service("s4", unresponsive)
        req_id = self.try_it(2.0)
        self.assertEqual(self.services(req_id), ["s4"])
        self.assertNotEqual(self.world.done[req_id].kind, "merged")

    def test_a_service_that_is_down_is_put_behind(self):
        for domain in DOMAINS:
            leaf = self.world.leaf("s4", domain)
            self.world.state.fleet.suspect(leaf, Availability.DOWN, self.world.now, "test")
        self.assertNotEqual(self.services(self.try_it()), ["s4"])

    def test_leaves_that_can_not_be_reached_are_no_end(self):
        self.set_service("s4", ends(CallEnding.NOT_SENT))
        req_id = self.try_it(1.0)
        self.assertEqual(self.world.done[req_id].missing, 1)
        given_back = [effect for effect in self.world.effects if isinstance(effect, WriteTrial)][-1]
        self.assertEqual(given_back.record.trials, 0)

    def test_a_caller_that_leaves_before_the_permit_starts_nothing(self):
        req_id = self.world.ask(b"/s/x", fingerprint=SUSPECT)
        write = [effect for effect in self.world.effects if isinstance(effect, WriteTrial)][-1]
        self.world.feed(ev.CallerGone(req_id))
        self.world.feed(ev.TrialWritten(write, 2))
        self.world.run(0.5)
        self.assertEqual(self.services(req_id), [])
        given_back = [effect for effect in self.world.effects if isinstance(effect, WriteTrial)][-1]
        self.assertEqual(given_back.record.trials, 0)


if __name__ == "__main__":
    unittest.main()
