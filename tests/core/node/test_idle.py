"""Detection, by its idle connections, that a leaf restarted while no call was in flight."""

from __future__ import annotations

import unittest

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.node.events import IdleEnded
from cactussaddle_core.node.limits import leaf_limit
from tests.core.node.world import World

LEAF = "s1-0"


class IdleTest(unittest.TestCase):
    def setUp(self):
        self.world = World(nodes=1, seed=1, loss=0.0)
        self.world.accept(["n0"])
        self.limit = leaf_limit(self.world.nodes["n0"], LEAF)
        for _ in range(200):
            self.answer()
        self.assertEqual(self.limit.limit(self.world.now), 4)

    def answer(self):
        self.limit.begin(self.world.now)
        self.limit.observe(CallOutcome.OK, 0.005, "1", self.world.now)

    def test_a_reset_makes_the_leaf_cold(self):
        self.world.feed("n0", IdleEnded(LEAF, reset=True))
        self.assertEqual(self.limit.limit(self.world.now), 1)
        self.answer()
        self.assertEqual(self.limit.limit(self.world.now), 1)

    def test_an_orderly_close_lowers_the_limit_until_the_same_incarnation_answers(self):
        self.world.feed("n0", IdleEnded(LEAF, reset=False))
        self.assertEqual(self.limit.limit(self.world.now), 1)
        self.answer()
        self.assertEqual(self.limit.limit(self.world.now), 4)

    def test_an_unknown_leaf_is_ignored(self):
        self.world.feed("n0", IdleEnded("gone", reset=True))
