from __future__ import annotations

import random
import unittest

from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge.crashes import MAX_BROADCAST_STRIKES
from cactussaddle_core.edge.crashes import MAX_REPORTED_STRIKES
from cactussaddle_core.edge.crashes import CrashTracker
from cactussaddle_core.edge.logevents import LeafCrashed
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fleet.applyhints import apply_hints
from cactussaddle_core.fleet.fleet import Fleet
from cactussaddle_core.fleet.hints import Hint
from cactussaddle_core.fleet.hints import HintKind
from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.fleet.probing import ProbeOutcome
from cactussaddle_core.fleet.probing import ProbeResult
from cactussaddle_core.hold.trials import RemoveTrial
from cactussaddle_core.hold.trials import TrialRecord
from cactussaddle_core.hold.trials import WriteTrial
from tests.core.edge.leafbehavior import CallOutcome
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World
from tests.core.edge.world import entry
from tests.core.edge.world import leaf_name

GONE = ProbeResult(ProbeOutcome.NOT_CONNECTED, "", False, None, 0.0)
POISON = "poison"


class CrashingRequestTest(unittest.TestCase):
    def setUp(self):
        self.world = World()
        for domain in DOMAINS:
            self.world.behaviors[leaf_name("orders", domain)] = self.crash

    def crash(self, now, rng):
        return CallOutcome(0.002, CallEnding.BROKEN)

    def poison(self) -> int:
        """Send the request; the next probe of each leaf that ran it finds the leaf down."""
        req_id = self.world.ask(b"/o/1", fingerprint=POISON)
        self.world.run(0.05)
        for call in self.world.calls_of(req_id):
            self.world.feed(ev.ProbeEnded(call.leaf.name, GONE))
        self.world.run(1.0)
        return req_id

    def permit(self, revision: int) -> None:
        """Have the store permit the trial that was asked for last."""
        writes = [e for e in self.world.effects if isinstance(e, WriteTrial) and e.record.permit]
        self.world.feed(ev.TrialWritten(writes[-1], revision))

    def test_it_is_held_after_two_crashes_and_broadcast_to_all_nodes(self):
        self.poison()
        again = self.world.ask(b"/o/1", fingerprint=POISON)
        self.world.run(1.0)
        answer = self.world.done[again]
        self.assertEqual((answer.kind, answer.ran), ("HELD", False))
        self.assertEqual(self.world.calls_of(again), [])
        broadcasts = [e for e in self.world.effects if isinstance(e, fx.SendCrashes)]
        self.assertEqual(len(broadcasts[0].members), 7)
        self.assertEqual({s.fingerprint for s in broadcasts[-1].snapshot.strikes}, {POISON})

    def test_trials_that_crash_a_leaf_become_rare(self):
        self.poison()
        waits = []
        for revision in (1, 2):
            trial = self.world.ask(b"/o/1", fingerprint=POISON)
            self.permit(revision)
            self.world.run(2.2)
            self.assertEqual(len(self.world.calls_of(trial)), 1)
            held = self.world.ask(b"/o/1", fingerprint=POISON)
            waits.append(self.world.done[held].retry_after_s)
            self.world.run(waits[-1] + 0.1)
        self.assertGreater(waits[0], 27.0)
        self.assertGreater(waits[1], 597.0)

    def test_a_trial_that_ends_well_frees_the_request(self):
        self.poison()
        self.world.behaviors.clear()
        self.world.ask(b"/o/1", fingerprint=POISON)
        self.permit(1)
        self.world.run(0.5)
        again = self.world.ask(b"/o/1", fingerprint=POISON)
        self.assertLess(self.world.done[again].retry_after_s, 1.0)
        self.assertIn(RemoveTrial(POISON, 1), self.world.effects)
        self.world.feed(ev.TrialRemoved(POISON, 2))
        self.world.run(1.0)
        again = self.world.ask(b"/o/1", fingerprint=POISON)
        self.world.run(1.0)
        self.assertEqual(self.world.done[again].kind, "relayed 200")

    def test_a_permit_whose_answer_was_lost_is_given_back(self):
        self.poison()
        self.world.ask(b"/o/1", fingerprint=POISON)
        write = [e for e in self.world.effects if isinstance(e, WriteTrial)][-1]
        self.world.feed(ev.TrialWritten(write, None))
        self.world.feed(ev.TrialSeen(write.record._replace(revision=5)))
        self.world.run(0.2)
        given_back = [e for e in self.world.effects if isinstance(e, WriteTrial)][-1]
        self.assertEqual((given_back.record.trials, given_back.record.revision), (0, 5))

    def test_a_node_that_receives_the_broadcast_holds_it_too(self):
        self.poison()
        broadcasts = [e for e in self.world.effects if isinstance(e, fx.SendCrashes)]
        other = World(seed=2)
        other.feed(ev.CrashesHeard(broadcasts[-1].snapshot))
        other.run(1.0)
        again = other.ask(b"/o/1", fingerprint=POISON)
        other.run(1.0)
        self.assertEqual(other.done[again].kind, "HELD")
        self.assertEqual(other.calls_of(again), [])

    def test_a_node_that_reads_the_record_holds_it_too(self):
        other = World(seed=2)
        other.feed(ev.TrialsListed((TrialRecord(POISON, 1, ("orders",), 3),)))
        again = other.ask(b"/o/1", fingerprint=POISON)
        self.assertEqual(other.done[again].kind, "HELD")
        other.run(2.0)
        again = other.ask(b"/o/1", fingerprint=POISON)
        self.assertGreater(other.done[again].retry_after_s, 27.0)

    def test_other_requests_are_served(self):
        self.poison()
        for domain in DOMAINS:
            del self.world.behaviors[leaf_name("orders", domain)]
            self.world.leaf("orders", domain).answered(self.world.now)
        other = self.world.ask(b"/o/2")
        self.world.run(2.0)
        self.assertEqual(self.world.done[other].kind, "relayed 200")

    def test_a_lost_answer_does_not_count_as_a_crash(self):
        for _ in range(4):
            self.world.ask(b"/o/1", fingerprint=POISON)
            self.world.run(0.5)
        again = self.world.ask(b"/o/1", fingerprint=POISON)
        self.world.run(2.0)
        self.assertNotEqual(self.world.done[again].kind, "HELD")


class CrashTrackerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        services = [f"s{n}" for n in range(8)]
        self.fleet.apply_listing([entry(s, d) for s in services for d in DOMAINS], 10.0)
        self.tracker = CrashTracker(node="n0", fleet=self.fleet)

    def collect(self, now: float):
        return self.tracker.collect_crashes(lambda leaf, now: [], now)

    def mark_down(self, service: str, domain: str, fingerprints: list[str], now: float):
        leaf = self.fleet.leaves[leaf_name(service, domain)]
        for fingerprint in fingerprints:
            leaf.record_broken_call(fingerprint, now)
        self.fleet.suspect(leaf, Availability.DOWN, now, "no connection")

    def test_the_loss_of_many_leaves_at_once_holds_no_request(self):
        for number in range(8):
            self.mark_down(f"s{number}", DOMAINS[0], ["bystander"] if number < 3 else [], 20.0)
        found = self.collect(20.1)
        self.assertEqual([type(event) for event in found], [LeafCrashed] * 3)
        self.assertFalse(self.tracker.is_held("bystander", 21.0))

    def test_a_restart_under_the_same_id_counts_as_a_crash(self):
        for number, domain in enumerate(DOMAINS[:2]):
            leaf = self.fleet.leaves[leaf_name("s0", domain)]
            leaf.record_broken_call("poison", 20.0 + number)
            self.fleet.apply_entry(entry("s0", domain, born_ms=2), 20.5 + number)
            self.collect(20.6 + number)
        self.assertTrue(self.tracker.is_held("poison", 23.0))

    def test_calls_broken_long_before_are_not_counted(self):
        leaf = self.fleet.leaves[leaf_name("s0", DOMAINS[0])]
        leaf.record_broken_call("old", 10.0)
        self.fleet.suspect(leaf, Availability.DOWN, 20.0, "no connection")
        self.collect(20.0)
        self.assertIsNone(self.tracker.next_broadcast(20.0))

    def test_silence_at_a_leaf_that_has_not_ended_is_no_crash(self):
        for domain in DOMAINS:
            leaf = self.fleet.leaves[leaf_name("s0", domain)]
            leaf.record_unanswered_call("bystander", 20.0)
            self.fleet.suspect(leaf, Availability.DOWN, 20.0, "no answer")
        self.assertEqual(self.collect(20.1), [])
        self.assertFalse(self.tracker.is_held("bystander", 21.0))

    def test_silence_at_leaves_whose_entries_expire_counts(self):
        for domain in DOMAINS[:2]:
            self.fleet.leaves[leaf_name("s0", domain)].record_unanswered_call("poison", 20.0)
            self.fleet.remove_entry(leaf_name("s0", domain), 24.4)
        self.fleet.sweep(24.5)
        self.collect(24.5)
        self.assertTrue(self.tracker.is_held("poison", 24.5))

    def test_entries_that_lapse_with_the_store_are_no_crash(self):
        self.fleet.outage_ended(24.0)
        for domain in DOMAINS[:2]:
            self.fleet.leaves[leaf_name("s0", domain)].record_unanswered_call("bystander", 23.0)
            self.fleet.remove_entry(leaf_name("s0", domain), 24.4)
        self.fleet.sweep(24.5)
        self.collect(24.5)
        self.assertFalse(self.tracker.is_held("bystander", 24.5))

    def test_a_call_that_ends_after_its_leaf_is_gone_counts(self):
        for domain in DOMAINS[:2]:
            leaf = self.fleet.leaves[leaf_name("s0", domain)]
            self.fleet.remove_entry(leaf.name, 24.4)
            self.fleet.sweep(30.0)
            self.collect(30.0)
            leaf.record_unanswered_call("poison", 31.0)
            self.fleet.call_lost(leaf)
        self.collect(31.1)
        self.assertTrue(self.tracker.is_held("poison", 31.1))

    def test_another_nodes_report_explains_calls_that_broke_here(self):
        for domain in DOMAINS[:2]:
            leaf = self.fleet.leaves[leaf_name("s0", domain)]
            leaf.record_broken_call("poison", 20.0)
            hint = Hint(leaf.name, leaf.entry.born_ms, HintKind.DOWN, 0.0)
            apply_hints(self.fleet, [hint], random.Random(1), 67, 20.1)
        self.collect(20.2)
        self.assertTrue(self.tracker.is_held("poison", 20.2))

    def test_other_regions_are_told_the_most_suspect_requests_once(self):
        for number in range(3):
            many = [f"bystander-{n}" for n in range(10)] if number == 0 else []
            self.mark_down(f"s{number}", DOMAINS[0], [*many, "poison"], 20.0)
        self.collect(20.0)
        report = self.tracker.next_report()
        assert report is not None
        told = [strike.fingerprint for strike in report.strikes]
        self.assertEqual((len(told), told[:3]), (MAX_REPORTED_STRIKES, ["poison"] * 3))
        self.assertIsNone(self.tracker.next_report())

    def test_a_message_carries_the_most_suspect_requests_first(self):
        for number in range(3):
            many = [f"bystander-{n}" for n in range(100)] if number == 0 else []
            self.mark_down(f"s{number}", DOMAINS[0], [*many, "poison"], 20.0)
        self.collect(20.0)
        snapshot = self.tracker.next_broadcast(20.0)
        assert snapshot is not None
        self.assertEqual(len(snapshot.strikes), MAX_BROADCAST_STRIKES)
        told = [strike.fingerprint for strike in snapshot.strikes]
        self.assertEqual(told[:3], ["poison"] * 3)

    def test_records_are_broadcast_a_few_times(self):
        self.mark_down("s0", DOMAINS[0], ["poison"], 20.0)
        self.collect(20.0)
        broadcasts = [
            at for at in (20.0, 20.1, 20.4, 20.8, 21.2, 21.6) if self.tracker.next_broadcast(at)
        ]
        self.assertEqual(len(broadcasts), 3)

    def test_a_later_crash_broadcasts_only_new_records(self):
        self.mark_down("s0", DOMAINS[0], ["poison"], 20.0)
        self.collect(20.0)
        for at in (20.0, 20.4, 20.8):
            self.tracker.next_broadcast(at)
        self.mark_down("s1", DOMAINS[0], ["another"], 24.0)
        self.collect(24.0)
        snapshot = self.tracker.next_broadcast(24.0)
        assert snapshot is not None
        self.assertEqual([strike.fingerprint for strike in snapshot.strikes], ["another"])

    def test_a_node_that_registers_gets_all_records(self):
        self.assertIsNone(self.tracker.full_snapshot(20.0))
        self.mark_down("s0", DOMAINS[0], ["poison"], 20.0)
        self.collect(20.0)
        for at in (20.0, 20.4, 20.8):
            self.tracker.next_broadcast(at)
        snapshot = self.tracker.full_snapshot(30.0)
        assert snapshot is not None
        self.assertEqual([strike.fingerprint for strike in snapshot.strikes], ["poison"])


if __name__ == "__main__":
    unittest.main()
