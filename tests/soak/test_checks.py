"""The checks with a time bound find answers and calls that were made wrong on purpose."""

from __future__ import annotations

import json
import random
import unittest

from itertools import pairwise
from types import SimpleNamespace

from tests.soak.closures import Closures
from tests.soak.configs import AddedRoute
from tests.soak.configs import Configs
from tests.soak.inforce import NO_ROUTE
from tests.soak.inforce import SERVED
from tests.soak.inforce import Answer
from tests.soak.inforce import InForceCheck
from tests.soak.inforce import Prober
from tests.soak.strangers import draw_entry


class InForceTest(unittest.TestCase):
    """Versions 5 and 8 add a route at 10 s and 14 s; 8 drops the route of 5."""

    def setUp(self) -> None:
        self.broken: list[str] = []
        self.check = InForceCheck(breach=self.broken.append)
        self.old = AddedRoute(version=5, added_at=10.0, life_s=4.0)
        self.new = AddedRoute(version=8, added_at=14.0, life_s=4.0)

    def drop_old(self) -> None:
        self.old.drop(8, 14.0)

    def answer(self, route: AddedRoute, status: int, at: float, **changes) -> None:
        usual = Answer("n", 1, route, status, at, at + 0.05, True)
        self.check.judge(usual._replace(**changes))

    def test_true_answers_pass(self) -> None:
        self.answer(self.old, NO_ROUTE, 12.9)
        self.answer(self.old, SERVED, 13.1)
        self.drop_old()
        self.answer(self.old, SERVED, 16.0)
        self.answer(self.new, SERVED, 17.1)
        self.answer(self.old, NO_ROUTE, 17.2)
        self.answer(self.new, 503, 17.3)
        self.assertEqual(self.broken, [])
        self.assertEqual(self.check.judged, 4)

    def test_a_version_not_in_force_in_time_is_found(self) -> None:
        self.answer(self.old, NO_ROUTE, 13.1)
        self.assertIn("version 5 is not in force on n after 3.10 s", self.broken[0])

    def test_a_version_not_in_force_is_found_though_a_newer_one_has_come(self) -> None:
        self.answer(self.old, NO_ROUTE, 15.5)
        self.assertEqual(len(self.broken), 1)

    def test_a_dropped_route_that_is_still_served_is_found(self) -> None:
        self.drop_old()
        self.answer(self.old, SERVED, 17.1)
        self.assertIn("3.10 s after its drop", self.broken[0])

    def test_nodes_out_of_touch_are_not_bound_by_time(self) -> None:
        self.answer(self.old, NO_ROUTE, 13.1, in_touch=False)
        self.drop_old()
        self.answer(self.old, SERVED, 17.1, in_touch=False)
        self.assertEqual(self.broken, [])

    def test_a_node_that_forgets_a_version_is_found_also_out_of_touch(self) -> None:
        self.answer(self.old, SERVED, 11.0)
        self.answer(self.old, NO_ROUTE, 11.5, in_touch=False)
        self.assertIn("fell back from 5 behind version 5", self.broken[0])

    def test_a_node_that_serves_what_it_knows_as_dropped_is_found(self) -> None:
        self.drop_old()
        self.answer(self.new, SERVED, 14.5)
        self.answer(self.old, SERVED, 15.0)
        self.assertIn("fell back from 8 behind version 8", self.broken[0])

    def test_a_refusal_after_the_drop_shows_the_version_that_dropped(self) -> None:
        self.answer(self.old, SERVED, 13.0)
        self.drop_old()
        self.answer(self.old, NO_ROUTE, 14.5)
        self.answer(self.old, SERVED, 15.0)
        self.assertIn("fell back from 8 behind version 8", self.broken[0])

    def test_a_new_process_may_know_less(self) -> None:
        self.answer(self.old, SERVED, 11.0)
        self.answer(self.old, NO_ROUTE, 11.5, start=2, in_touch=False)
        self.assertEqual(self.broken, [])

    def test_answers_that_cross_are_granted_the_slack(self) -> None:
        self.answer(self.old, SERVED, 11.0)
        self.answer(self.old, NO_ROUTE, 11.2)
        self.assertEqual(self.broken, [])


class ProberTest(unittest.TestCase):
    def test_a_route_is_asked_about_at_its_bounds_and_until_some_time_after_its_drop(self) -> None:
        node = SimpleNamespace(name="n")
        prober = Prober(node=node, added=[], check=None, ledger=None)  # type: ignore[arg-type]
        route = AddedRoute(version=5, added_at=10.0, life_s=1.0)
        asked = []
        for tick in range(1, 2000):
            now = 10.0 + 0.01 * tick
            if now >= 14.0:
                route.dropped_at = 14.0
            if prober._is_due(route, now):
                prober._asked_at[5] = now
                asked.append(round(now, 2))
        self.assertTrue({13.01, 17.01} <= set(asked), asked)
        self.assertLess(max(later - at for at, later in pairwise(asked)), 1.0)
        self.assertGreater(asked[-1], 19.0)
        self.assertLess(asked[-1], 20.1)


class ConfigsTest(unittest.TestCase):
    def test_a_version_adds_its_route_and_drops_those_whose_time_is_over(self) -> None:
        written: list[dict] = []
        store = SimpleNamespace(put=lambda key, value: written.append(json.loads(value)))
        configs = Configs(store=store, rng=random.Random(1))  # type: ignore[arg-type]
        for now in (0.0, 0.5, 20.0):
            configs.write_next(now)
        first, second, third = configs.added
        prefixes = [{route["prefix"] for route in config["routes"]} for config in written]
        self.assertIn(f"/v{first.version}/", prefixes[1])
        self.assertIn(f"/v{second.version}/", prefixes[1])
        self.assertEqual(prefixes[2], {"/g/", "/p/", "/o/", "/w/", f"/v{third.version}/"})
        self.assertEqual((first.dropped_by, first.dropped_at), (third.version, 20.0))


class ClosuresTest(unittest.TestCase):
    def check(self, sender: str, now: float, *, reopened: bool = False) -> list[str]:
        broken: list[str] = []
        closures = Closures(breach=broken.append, in_touch=lambda address, at: address == "calm")
        closures.close_domain("north", 10.0)
        closures.close_leaf("i-1", 12.0)
        if reopened:
            closures.reopen_domain("north")
            closures.reopen_leaf("i-1")
        leaf = SimpleNamespace(name="i-1", domain="north")
        closures.arrived("r", leaf, sender, now)  # type: ignore[arg-type]
        return broken

    def test_a_late_call_to_a_domain_that_is_out_is_found(self) -> None:
        self.assertIn("1.00 s late for north", self.check("calm", 11.0)[0])

    def test_a_late_call_to_a_leaf_that_left_is_found(self) -> None:
        self.assertIn("1.00 s late for i-1", self.check("calm", 13.0)[0])

    def test_calls_in_time_and_from_nodes_out_of_touch_pass(self) -> None:
        self.assertEqual(self.check("calm", 9.9), [])
        self.assertEqual(self.check("disturbed", 13.0), [])

    def test_calls_pass_after_the_domain_and_the_leaf_are_back(self) -> None:
        self.assertEqual(self.check("calm", 13.0, reopened=True), [])


class StrangersTest(unittest.TestCase):
    def test_each_entry_has_a_fault(self) -> None:
        rng = random.Random(1)
        entries = {draw_entry(rng, "a0", "north", "127.0.0.1:1") for _ in range(500)}
        self.assertGreater(len(entries), 40)
        for entry in entries:
            self.assertNotEqual(entry, draw_sound_entry())


def draw_sound_entry() -> bytes:
    sound = {"service": "a0", "address": "127.0.0.1:1", "zone": "north", "version": "v1"}
    more = {"max_concurrency": 4, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1}
    return json.dumps(sound | more, separators=(",", ":")).encode()


if __name__ == "__main__":
    unittest.main()
