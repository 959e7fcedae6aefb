from __future__ import annotations

import unittest

from cactussaddle_core.routing.model import Target
from cactussaddle_core.routing.split import WeightedRoundRobin
from cactussaddle_core.routing.table import CurrentTable
from cactussaddle_core.routing.table import RoutingTable
from tests.core.edge.world import single_route


def table(version: int, *prefixes: str) -> RoutingTable:
    routes = [single_route()._replace(name=prefix, prefix=prefix) for prefix in prefixes]
    return RoutingTable(version=version, routes=routes, services=[])


class CountedPath(str):
    """A path that counts the characters copied from it."""

    copied = 0

    def __getitem__(self, key) -> str:
        part = super().__getitem__(key)
        self.copied += len(part)
        return part


class RoutingTableTest(unittest.TestCase):
    def test_the_longest_prefix_wins(self):
        routes = table(1, "/a/", "/a/b/", "/")
        names = [routes.find("h", path) for path in ("/a/x", "/a/b/x", "/a/b", "/c", "/a/b/")]
        self.assertEqual([r and r.name for r in names], ["/a/", "/a/b/", "/a/", "/", "/a/b/"])

    def test_no_route_for_another_host_or_path(self):
        routes = table(1, "/a/")
        self.assertIsNone(routes.find("other", "/a/x"))
        self.assertIsNone(routes.find("h", "/b/x"))
        self.assertIsNone(routes.find("h", "/a"))

    def test_a_path_of_slashes_costs_no_more_than_another(self):
        """Each prefix of the path was looked up, so 16 kB of slashes held the node up (review/6, CONFIG)."""
        routes = table(1, "/a/", "/a/b/", "/c/d/")
        for path in ("/" * 16_000, "/x" * 8_000, "/a/" + "/" * 16_000):
            counted = CountedPath(path)
            found = routes.find("h", counted)
            self.assertEqual(found and found.name, "/a/" if path.startswith("/a/") else None)
            self.assertLessEqual(counted.copied, 3 + 5)

    def test_a_prefix_that_does_not_end_in_a_slash_matches_nothing(self):
        self.assertIsNone(table(1, "/a").find("h", "/a/x"))

    def test_the_table_never_reverts_to_an_older_version(self):
        current = CurrentTable()
        self.assertTrue(current.offer(table(5)))
        self.assertFalse(current.offer(table(4)))
        self.assertFalse(current.offer(table(5)))
        self.assertTrue(current.offer(table(9)))
        self.assertEqual(current.table and current.table.version, 9)


class WeightedRoundRobinTest(unittest.TestCase):
    def test_shares_match_the_weights_over_few_requests(self):
        route = single_route()._replace(targets=(Target("a", 3.0), Target("b", 1.0)))
        round_robin = WeightedRoundRobin()
        chosen = [round_robin.choose(route) for _ in range(100)]
        self.assertEqual((chosen.count("a"), chosen.count("b")), (75, 25))
        self.assertEqual(chosen[:4].count("b"), 1)

    def test_changed_weights_apply_at_once(self):
        round_robin = WeightedRoundRobin()
        route = single_route()._replace(targets=(Target("a", 1.0), Target("b", 1.0)))
        for _ in range(7):
            round_robin.choose(route)
        changed = route._replace(targets=(Target("c", 1.0), Target("d", 9.0)))
        chosen = [round_robin.choose(changed) for _ in range(100)]
        self.assertEqual(set(chosen), {"c", "d"})
        self.assertAlmostEqual(chosen.count("c"), 10, delta=1)
