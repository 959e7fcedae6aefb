"""A stop ends in time whatever callers do, and answers or refuses all that they have sent."""

from __future__ import annotations

import math
import unittest

from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge.stopping import longest_ago_s
from cactussaddle_core.fanout import effects as fanfx
from tests.core.edge.leafbehavior import CallOutcome
from tests.core.edge.leafbehavior import unresponsive
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World
from tests.core.edge.world import leaf_name

GRACE_S = 6.0
STEP_S = 0.02
# Refused as the node would exit first, and as it is about to.
REFUSED = ("NOT_RUN", "STOPPING")
# The process needs some time to write its last answers, see them read, and exit.
GIVE_UP_BY_S = 5.2
EXIT_BY_S = 5.5


def world_with_orders_of(work_s: float) -> World:
    world = World()
    for domain in DOMAINS:
        leaf = leaf_name("orders", domain)
        world.behaviors[leaf] = lambda now, rng: CallOutcome(rng.uniform(0.5, 1.5) * work_s)
    for _ in range(20):
        world.ask(b"/o/x", timeout_s=6.0)
        world.run(0.2)
    return world


class RequestTimeTest(unittest.TestCase):
    """The grace period runs from the platform's signal, not from its handling."""

    def test_a_signal_that_waited_while_the_process_loaded_is_taken_for_a_new_one(self):
        self.assertEqual(longest_ago_s(1.4, 1.45, 0.1), 1.4)

    def test_a_signal_sent_while_the_process_did_not_run_is_taken_for_a_new_one(self):
        self.assertAlmostEqual(longest_ago_s(0.01, 2.0, 0.1), 1.9)
        self.assertEqual(longest_ago_s(0.01, 0.08, 0.1), 0.01)

    def test_the_deadlines_of_a_stop_that_was_asked_earlier_are_late(self):
        world = World()
        world.feed(ev.StopAsked(GRACE_S, 1.5))
        self.assertAlmostEqual(world.state.stopping.give_up_at, world.now - 1.5 + 5.0)
        self.assertLess(world.state.stopping.exit_at, world.now - 1.5 + GRACE_S)

    def test_a_stop_asked_longer_ago_than_its_grace_period_ends_at_once(self):
        world = World()
        asked = world.ask()
        world.feed(ev.StopAsked(GRACE_S, 7.0))
        world.run(0.15)
        self.assertIn(asked, world.done)
        self.assertEqual(world.state.fanout.queries, {})
        self.assertTrue(any(isinstance(effect, fx.EndProcess) for effect in world.effects))


class StopUnderLoadTest(unittest.TestCase):
    def keep_asking(self, world: World, until: float, target: bytes) -> list[int]:
        """Send requests until the process exits, which has to be before a time."""
        asked = []
        while not self.ended_at(world):
            self.assertLess(world.now, until, "the process still serves")
            asked.append(world.ask(target, timeout_s=6.0))
            world.run(STEP_S)
        return asked

    @staticmethod
    def ended_at(world: World) -> bool:
        return any(isinstance(effect, fx.EndProcess) for effect in world.effects)

    def test_a_stop_does_not_end_while_requests_keep_coming(self):
        for work_s in (0.012, 0.3):
            with self.subTest(work_s=work_s):
                world = world_with_orders_of(work_s)
                began = world.now
                world.feed(ev.StopAsked(GRACE_S))
                asked = self.keep_asking(world, began + EXIT_BY_S, b"/o/x")
                self.assertEqual([req_id for req_id in asked if req_id not in world.done], [])
                self.assertEqual(len(world.state.fanout.queries), 0)

    def test_requests_that_the_node_can_not_serve_before_it_exits_are_sent_to_leaves(self):
        world = world_with_orders_of(0.5)
        began = world.now
        world.feed(ev.StopAsked(GRACE_S))
        asked = self.keep_asking(world, began + EXIT_BY_S, b"/o/x")
        refused = [world.done[req_id] for req_id in asked if world.done[req_id].kind in REFUSED]
        self.assertGreater(len(refused), 20)
        for done in refused:
            self.assertEqual((done.took_s, done.ran), (0.0, False))
            self.assertGreater(done.retry_after_s, 0.0)
        given_up = [r for r in asked if world.done[r].kind not in (*REFUSED, "relayed 200")]
        self.assertLess(len(given_up), 0.05 * len(asked))

    def test_searches_are_served_until_shortly_before_the_end(self):
        world = World()
        began = world.now
        world.feed(ev.StopAsked(GRACE_S))
        asked = self.keep_asking(world, began + EXIT_BY_S, b"/s/x")
        served = [world.done[req_id] for req_id in asked if world.done[req_id].kind == "merged"]
        self.assertGreater(max(done.at for done in served), began + 4.6)
        self.assertLess(max(done.at for done in served), began + GIVE_UP_BY_S)

    def test_a_search_with_enough_parts_is_given_up_at_the_end_without_an_answer(self):
        world = World()
        world.behaviors.update({leaf_name("s0", domain): unresponsive for domain in DOMAINS})
        world.feed(ev.StopAsked(GRACE_S))
        world.run(4.7)
        world.state.fanout.give_up_at = math.inf
        req_id = world.ask(b"/s/x", timeout_s=6.0)
        query = world.state.fanout.queries[req_id]
        query.answer_by = query.deadline = world.now + 5.0
        world.run(0.5)
        self.assertEqual((world.done[req_id].kind, world.done[req_id].missing), ("merged", 1))

    def test_requests_that_wait_for_the_node_to_load_are_forgotten_at_the_end(self):
        world = World(loaded=False)
        world.feed(ev.StopAsked(GRACE_S))
        world.run(4.9)
        waiting = world.ask()
        world.run(0.3)
        self.assertEqual(world.done[waiting].kind, "STOPPING")
        kinds = [type(effect) for effect in world.effects]
        self.assertIn(fx.EndProcess, kinds[kinds.index(fanfx.Declined) :])

    def test_the_deadline_that_leaves_get_is_after_the_exit(self):
        world = world_with_orders_of(0.1)
        began = world.now
        world.feed(ev.StopAsked(GRACE_S))
        world.run(2.0)
        req_id = world.ask(b"/o/x", timeout_s=6.0)
        self.assertLessEqual(world.state.fanout.queries[req_id].deadline, began + GIVE_UP_BY_S)


if __name__ == "__main__":
    unittest.main()
