"""Leaves that name how many requests a second they take from all nodes together."""

from __future__ import annotations

import unittest

from tests.core.edge.limitworld import LimitWorld
from tests.core.edge.limitworld import allowed
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import leaf_name

# Bounds hold from this long after a leaf has named its limit.
SETTLED_S = 5.0
UNEVEN = (6.0, 4.0, 3.0, 1.0, 1.0, 1.0, 0.5, 0.5)


class LeafLimitTest(unittest.TestCase):
    def check(self, world: LimitWorld, since: float) -> None:
        for leaf, limit in world.limits.items():
            self.assertLessEqual(world.worst_window(leaf, since), allowed(limit), leaf)

    def test_searches_exceed_what_leaves_of_several_shards_take(self):
        world = LimitWorld()
        world.load(45.0, 3.0, weights=UNEVEN)
        named_at = world.now
        for number in range(7):
            for domain in DOMAINS[: 1 + number % 3]:
                world.limits[leaf_name(f"s{number}", domain)] = 8.0
        world.load(45.0, 19.0, weights=UNEVEN)
        self.check(world, named_at + SETTLED_S)

    def test_a_burst_exceeds_a_low_limit(self):
        world = LimitWorld()
        named_at = world.now
        for domain in DOMAINS:
            world.limits[leaf_name("orders", domain)] = 1.0
        world.load(6.0, 8.0, b"/o/1")
        world.load(12.0, 8.0, b"/o/1", UNEVEN)
        self.check(world, named_at + SETTLED_S)

    def test_shares_that_are_even_turn_callers_away_from_busy_nodes(self):
        world = LimitWorld()
        for domain in DOMAINS:
            world.limits[leaf_name("orders", domain)] = 4.0
        named_at = world.now
        few = (1.0, 0.0, 0.0, 0.6, 0.0, 0.0, 0.0, 0.0)
        world.load(10.0, 8.0, b"/o/1", few)
        asked = world.load(10.0, 12.0, b"/o/1", few)
        world.run(2.0)
        self.check(world, named_at + SETTLED_S)
        self.assertGreaterEqual(world.share_served(asked), 0.8)

    def test_many_nodes_get_no_quota_of_a_low_limit(self):
        world = LimitWorld(nodes=67)
        for domain in DOMAINS:
            world.limits[leaf_name("orders", domain)] = 2.0
        named_at = world.now
        world.load(10.0, 8.0, b"/o/1")
        before = len(world.arrivals[leaf_name("orders", "north")])
        world.load(10.0, 16.0, b"/o/1")
        self.check(world, named_at + SETTLED_S)
        arrived = len(world.arrivals[leaf_name("orders", "north")]) - before
        self.assertGreaterEqual(arrived, 0.7 * 2.0 * 16.0)

    def test_a_limit_outlives_its_naming(self):
        world = LimitWorld()
        for domain in DOMAINS:
            world.limits[leaf_name("orders", domain)] = 1.0
        world.load(10.0, 8.0, b"/o/1")
        world.limits.clear()
        world.load(10.0, 10.0, b"/o/1")
        asked = world.load(10.0, 6.0, b"/o/1")
        world.run(2.0)
        self.assertEqual(world.share_served(asked), 1.0)

    def test_searches_that_lack_quota_for_too_many_shards_wait_for_their_deadline(self):
        world = LimitWorld()
        for number in range(5):
            for domain in DOMAINS:
                world.limits[leaf_name(f"s{number}", domain)] = 2.0
        asked = world.load(30.0, 10.0)
        world.run(2.0)
        refused = [
            node.done[req_id] for node, req_id in asked if node.done[req_id].kind == "NOT_RUN"
        ]
        self.assertGreater(len(refused), 100)
        self.assertLess(max(done.took_s for done in refused), 0.01)
        self.assertTrue(all(done.retry_after_s > 0.0 for done in refused))


if __name__ == "__main__":
    unittest.main()
