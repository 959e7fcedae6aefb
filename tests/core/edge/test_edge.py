from __future__ import annotations

import itertools
import random
import unittest

from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge import logpriority
from cactussaddle_core.edge.stopping import GracefulStop
from cactussaddle_core.fanout import effects as fanfx
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.spread.model import Member
from tests.core.edge.leafbehavior import CallOutcome
from tests.core.edge.leafbehavior import ending
from tests.core.edge.leafbehavior import pausing
from tests.core.edge.leafbehavior import shedding
from tests.core.edge.leafbehavior import slow
from tests.core.edge.leafbehavior import unresponsive
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World
from tests.core.edge.world import entry
from tests.core.edge.world import leaf_name


class StoppingTest(unittest.TestCase):
    def test_keeps_serving_until_the_balancer_has_dropped_the_node(self):
        stopping = GracefulStop()
        stopping.request(6.0, 100.0)
        self.assertFalse(stopping.is_closing(102.0))
        self.assertFalse(stopping.may_exit(0, 102.0))
        self.assertTrue(stopping.may_exit(0, 103.0))
        self.assertFalse(stopping.may_exit(3, 104.0))
        self.assertTrue(stopping.may_exit(3, 105.5))

    def test_a_second_request_to_stop_changes_nothing(self):
        stopping = GracefulStop()
        stopping.request(6.0, 100.0)
        stopping.request(6.0, 104.0)
        self.assertTrue(stopping.may_exit(0, 104.0))


class StoreOutageTest(unittest.TestCase):
    def test_the_duration_of_an_outage_is_logged(self):
        world = World()
        world.feed(ev.StoreBack("store", 5, 0.0))
        world.run(2.0)
        world.feed(ev.StoreLost("silent", "store", 0.5))
        world.run(3.0)
        world.feed(ev.StoreBack("store", 6, 0.0))
        back = [note for note in world.notes if isinstance(note, log.StoreBack)]
        self.assertEqual([note.away_s for note in back], [0.0, 3.0])


class EdgeTest(unittest.TestCase):
    def test_a_stop_ends_the_process_only_when_its_requests_have_their_answers(self):
        world = World()
        for domain in DOMAINS:
            world.behaviors[leaf_name("orders", domain)] = lambda now, rng: CallOutcome(1.5)
        world.feed(ev.StopAsked(6.0))
        self.assertFalse(world.state.is_ready())
        world.run(2.2)
        req_id = world.ask(b"/u/1", timeout_s=5.0)
        world.run(1.0)
        self.assertFalse(any(isinstance(e, fx.EndProcess) for e in world.effects))
        world.run(1.0)
        self.assertEqual(world.done[req_id].kind, "relayed 200")
        self.assertTrue(any(isinstance(e, fx.EndProcess) for e in world.effects))

    def test_requests_still_open_at_the_end_of_a_stop_are_answered_before_the_exit(self):
        """A hung leaf outlasted the grace period and the request was cut off (soak, seed 20)."""
        world = World()
        for domain in DOMAINS:
            world.behaviors[leaf_name("orders", domain)] = unresponsive
        world.feed(ev.StopAsked(4.0))
        world.run(1.5)
        req_id = world.ask(b"/u/1", timeout_s=5.0)
        world.run(2.0)
        answer = world.done[req_id]
        self.assertEqual((answer.kind, answer.ran), ("OUTCOME_UNKNOWN", True))
        ends = [type(effect) for effect in world.effects]
        self.assertGreater(ends.index(fx.EndProcess), ends.index(fanfx.Declined))

    def test_the_progress_of_a_stop_names_the_requests_in_progress(self):
        """A killed process writes no other line of the requests that are cut."""
        world = World()
        for domain in DOMAINS:
            world.behaviors[leaf_name("orders", domain)] = unresponsive
        world.feed(ev.StopAsked(6.0))
        req_id = world.ask(b"/u/1", timeout_s=9.0)
        world.run(4.9)
        lines = [note for note in world.notes if isinstance(note, log.StopProgress)]
        gaps_s = [after.since_s - before.since_s for before, after in itertools.pairwise(lines)]
        self.assertGreaterEqual(len(lines), 8)
        self.assertLess(max(gaps_s), 0.65)
        self.assertEqual({line.phase for line in lines}, {"serving", "closing"})
        request = world.state.fanout.queries[req_id].request.request_id
        self.assertEqual({line.open for line in lines}, {(request,)})

    def test_a_caller_that_leaves_is_logged_also_before_its_request_starts(self):
        world = World(loaded=False)
        req_id = world.ask()
        world.feed(ev.StopAsked(6.0))
        world.feed(ev.CallerGone(req_id))
        left = [note for note in world.notes if isinstance(note, log.CallerLeft)]
        self.assertEqual([(note.route, note.stopping) for note in left], [("", True)])

    def test_shares_follow_the_members(self):
        world = World(nodes=2)
        few = world.state.connections(world.leaf("s0", DOMAINS[0]), world.now).most
        members = tuple(Member(f"node-{n}", "127.0.0.1", 1, DOMAINS[0]) for n in range(23))
        world.feed(ev.MembersListed(members))
        many = world.state.connections(world.leaf("s0", DOMAINS[0]), world.now).most
        self.assertEqual((few, many), (46 // 2, 46 // 23))

    def test_requests_wait_for_a_node_that_has_just_started(self):
        world = World(loaded=False)
        first = world.ask()
        world.run(0.1)
        self.assertNotIn(first, world.done)
        world.load_all()
        world.run(0.5)
        answer = world.done[first]
        self.assertEqual(answer.kind, "merged")
        self.assertGreater(answer.took_s, 0.1)
        kinds = [type(effect) for effect in world.effects]
        self.assertLess(kinds.index(fx.KeepConnections), kinds.index(fanfx.SendCall))

    def test_the_wait_is_bounded(self):
        world = World(loaded=False)
        first = world.ask()
        world.run(1.0)
        answer = world.done[first]
        self.assertEqual((answer.kind, answer.ran), ("NOT_CONFIGURED", False))
        self.assertLess(answer.took_s, 0.75)

    def test_requests_do_not_wait_while_the_store_is_unreachable(self):
        world = World(loaded=False)
        first = world.ask()
        world.feed(ev.StoreLost("out", "store", 0.0))
        second = world.ask()
        self.assertEqual({world.done[first].kind, world.done[second].kind}, {"NOT_CONFIGURED"})

    def test_random_runs_keep_all_invariants(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                random_run(seed)


def random_run(seed: int) -> None:
    """Send requests of all kinds to leaves that fail in all ways; the reducer checks invariants."""
    world = World(seed=seed)
    rng = random.Random(seed)
    kinds = [
        slow(6.0),
        unresponsive,
        pausing(1.0),
        shedding(0.5),
        ending(CallEnding.BROKEN),
        ending(CallEnding.FAILED),
        ending(CallEnding.NOT_SENT),
        None,
    ]
    names = list(world.state.fleet.leaves)
    asked = []
    for step in range(150):
        name = rng.choice(names)
        kind = rng.choice(kinds)
        if kind is None:
            world.behaviors.pop(name, None)
        else:
            world.behaviors[name] = kind
        service, domain = name.rsplit("-", 1)
        act = rng.random()
        if act < 0.05:
            world.feed(ev.LeafRemoved(name))
        elif act < 0.1:
            world.feed(ev.LeafChanged(entry(service, domain, born_ms=step + 2)))
        elif act < 0.13:
            world.feed(ev.StoreLost("out", "store", 0.0))
        elif act < 0.16:
            world.feed(ev.StoreBack("store", step, 0.0))
        elif act < 0.2:
            world.feed(ev.DomainMarked(rng.choice(DOMAINS), rng.random() < 0.3))
        target = rng.choice([b"/s/x", b"/o/x", b"/u/x"])
        asked.append(world.ask(target))
        if rng.random() < 0.05 and asked[-1] not in world.done:
            world.feed(ev.CallerGone(asked.pop()))
        world.run(rng.expovariate(10.0))
    world.run(10.0)
    for req_id in asked:
        assert req_id in world.done, f"seed {seed}: request {req_id} has no answer"
        done = world.done[req_id]
        assert done.took_s <= 6.0, f"seed {seed}: {done}"
        runs = [c for c in world.calls_of(req_id) if c.ending not in NOT_RUN]
        if not done.ran:
            assert not runs, f"seed {seed}: {done} says not run"
    assert not world.state.fanout.queries
    assert not world.state.fanout.calls
    waiting = [leaf.name for leaf in world.state.fleet.leaves.values() if leaf.waiting]
    assert not waiting, f"seed {seed}: {waiting}"


NOT_RUN = {CallEnding.NOT_SENT, CallEnding.REFUSED, CallEnding.CONNECTION_LIMIT}


class LogEventsTest(unittest.TestCase):
    def test_a_field_replaces_the_time_the_node_or_the_name_of_its_line(self):
        for kind in logpriority.EVENTS:
            with self.subTest(event=kind.__name__):
                self.assertEqual(set(kind._fields) & {"time", "node", "event"}, set())

    def test_names_are_those_of_the_classes(self):
        self.assertEqual(logpriority.event_name(log.TableInForce), "table_in_force")
        self.assertEqual(logpriority.event_name(log.RequestEnded), "request_ended")

    def test_callers_that_leave_a_stopping_node_have_the_priority_of_failures(self):
        left = log.CallerLeft("r", "route", 10.0, 1, False)
        self.assertEqual(logpriority.log_priority(left), logpriority.LogPriority.CHANGE)
        left = left._replace(stopping=True)
        self.assertEqual(logpriority.log_priority(left), logpriority.LogPriority.FAILURE)

    def test_failed_and_late_requests_have_a_higher_log_priority(self):
        good = log.RequestEnded(
            "r", "f", "route", "COMPLETE", "", 10.0, 100.0, 90.0, 1, 1, 1, 0, 0, 1, 0.0, 0.0, ()
        )
        self.assertEqual(logpriority.log_priority(good), logpriority.LogPriority.ROUTINE)
        self.assertEqual(
            logpriority.log_priority(good._replace(took_ms=200.0)), logpriority.LogPriority.FAILURE
        )
        self.assertEqual(
            logpriority.log_priority(good._replace(answered=0)), logpriority.LogPriority.FAILURE
        )


if __name__ == "__main__":
    unittest.main()
