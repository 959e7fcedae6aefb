"""A leaf that turns a request away and names a time for which it wants nothing."""

from __future__ import annotations

import functools
import unittest

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.edge import events as ev
from cactussaddle_core.exceptions import InvariantError
from cactussaddle_core.fanout.model import CallEnd
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fleet.fleet import MAX_PAUSE_S
from cactussaddle_core.fleet.model import LeafNotice
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World
from tests.core.edge.world import entry
from tests.core.edge.world import leaf_name

if TYPE_CHECKING:
    from tests.core.edge.leafbehavior import CallOutcome

PAUSE_S = 3.0
# Requests that cross the answer may still arrive within this time.
CROSSING_S = 0.5
MAX_LATE = 2


class PausingWorld(World):
    """The leaves in `pausing` turn each request away and ask for `PAUSE_S`."""

    def __init__(self) -> None:
        super().__init__()
        self.pausing: set[str] = set()
        self.turned_away: list[tuple[float, str]] = []

    def answer_call(self, call, does: CallOutcome, trip_s: float) -> None:
        if call.leaf.name not in self.pausing:
            super().answer_call(call, does, trip_s)
            return
        notice = LeafNotice(pause_s=PAUSE_S)
        end = CallEnd(call.call_id, CallEnding.REFUSED, "status 503", notice=notice)
        self.later(trip_s, functools.partial(self._turn_away, call, end))

    def _turn_away(self, call, end: CallEnd) -> None:
        self.turned_away.append((self.now, call.leaf.name))
        self._end_call(call, end)

    def late_arrivals(self) -> int:
        """Return the most requests that reached a leaf in one of its pauses."""
        return max(
            sum(
                name == leaf and since + CROSSING_S < at < since + PAUSE_S
                for at, name, _ in self.sent
            )
            for since, leaf in self.turned_away
        )


class LeafPauseTest(unittest.TestCase):
    def setUp(self):
        self.world = PausingWorld()

    def test_all_leaves_of_a_shard_are_asked_again_in_their_pause(self):
        self.world.pausing = {leaf_name("s0", domain) for domain in DOMAINS}
        asked = self.world.load(30.0, 10.0)
        self.assertLessEqual(self.world.late_arrivals(), MAX_LATE)
        kinds = [self.world.done[req_id].kind for req_id in asked]
        self.assertGreater(kinds.count("merged"), 0.95 * len(kinds))

    def test_a_third_of_all_leaves_are_asked_again_in_their_pause(self):
        self.world.pausing = {leaf_name(f"s{number}", DOMAINS[number % 3]) for number in range(10)}
        asked = self.world.load(30.0, 10.0)
        self.assertLessEqual(self.world.late_arrivals(), MAX_LATE)
        complete = sum(self.world.done[req_id].missing == 0 for req_id in asked)
        self.assertGreater(complete, 0.9 * len(asked))

    def test_a_service_that_pauses_whole_lets_callers_wait_for_nothing(self):
        self.world.pausing = {leaf_name("orders", domain) for domain in DOMAINS}
        self.world.ask(b"/o/1")
        self.world.run(0.5)
        refused = self.world.done[self.world.ask(b"/o/2")]
        self.assertEqual((refused.kind, refused.took_s), ("NOT_RUN", 0.0))
        self.assertGreater(refused.retry_after_s, PAUSE_S - 1.0)
        self.assertLess(refused.retry_after_s, 1.3 * PAUSE_S)

    def test_a_pause_outlives_its_time(self):
        name = leaf_name("orders", DOMAINS[0])
        self.world.pausing = {name}
        self.world.ask(b"/o/1")
        self.world.run(0.5)
        self.world.pausing = set()
        self.world.run(PAUSE_S)
        before = len(self.world.sent)
        self.world.load(20.0, 2.0, b"/o/1")
        self.assertIn(name, {leaf for _, leaf, _ in self.world.sent[before:]})

    def test_a_new_start_of_the_leaf_inherits_its_pause(self):
        leaf = self.world.leaf("orders", DOMAINS[0])
        self.world.state.fleet.notice_given(leaf, LeafNotice(pause_s=PAUSE_S), self.world.now)
        self.assertFalse(self.world.state.may_call(leaf, self.world.now))
        self.world.feed(ev.LeafChanged(entry("orders", DOMAINS[0], born_ms=2)))
        leaf = self.world.leaf("orders", DOMAINS[0])
        self.assertTrue(self.world.state.may_call(leaf, self.world.now))

    def test_a_pause_of_a_day_shuts_a_leaf_out(self):
        leaf = self.world.leaf("orders", DOMAINS[0])
        self.world.state.fleet.notice_given(leaf, LeafNotice(pause_s=86400.0), self.world.now)
        self.assertTrue(self.world.state.may_call(leaf, self.world.now + MAX_PAUSE_S))

    def test_health_checks_wait_for_the_end_of_a_pause(self):
        leaf = self.world.leaf("orders", DOMAINS[0])
        fleet = self.world.state.fleet
        fleet.notice_given(leaf, LeafNotice(pause_s=PAUSE_S), self.world.now)
        probed: list[float] = []
        world: Any = self.world
        world._probe = lambda leaf: probed.append(self.world.now)
        paused_at = self.world.now
        fleet.probes.schedule(leaf.name, paused_at)
        self.world.run(PAUSE_S + 1.0)
        self.assertGreaterEqual(min(probed), paused_at + PAUSE_S)

    def test_the_promise_is_asserted(self):
        name = leaf_name("s0", DOMAINS[0])
        self.world.pausing = {name}
        self.world.state.fanout.may_call = lambda leaf, now: True
        with self.assertRaisesRegex(InvariantError, "leaf-pause"):
            self.world.load(30.0, 2.0)


if __name__ == "__main__":
    unittest.main()
