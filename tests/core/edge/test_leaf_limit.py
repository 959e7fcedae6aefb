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


if __name__ == "__main__":
    unittest.main()
