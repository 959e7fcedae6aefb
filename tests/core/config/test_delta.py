"""Tests that a configuration delta reproduces the new revision exactly."""

from __future__ import annotations

import random
import unittest

from cactussaddle_core.config.delta import config_digest
from cactussaddle_core.config.delta import config_doc
from cactussaddle_core.config.delta import diff_config
from cactussaddle_core.config.delta import patch_config
from cactussaddle_core.config.model import build_config
from tools.capacity.fleet import make_config

SEED = 5
LEAVES = 40


class ConfigDeltaTest(unittest.TestCase):
    def setUp(self):
        rng = random.Random(SEED)
        self.old = build_config(make_config(LEAVES))
        doc = make_config(LEAVES)
        doc["revision"] = 4
        doc["leaves"] = doc["leaves"][3:]
        doc["leaves"][5]["version"] = "v2"
        doc["services"][1]["slots"] += 1
        doc["moves"] = [
            {"id": "m1", "kind": "leave", "target": "x", "start": 1.0, "finish": 2.0},
        ]
        rng.shuffle(doc["leaves"])
        self.new = build_config(doc)

    def test_patching_the_old_configuration_yields_the_new_one(self):
        delta = diff_config(self.old, self.new)
        self.assertEqual(patch_config(self.old, delta), self.new)
        self.assertEqual(len(delta.leaves), 4)

    def test_the_digest_does_not_depend_on_the_order_of_the_items(self):
        sorted_copy = build_config(config_doc(self.new))
        self.assertNotEqual(list(sorted_copy.leaves), list(self.new.leaves))
        self.assertEqual(config_digest(sorted_copy), config_digest(self.new))

    def test_a_different_base_or_result_is_rejected(self):
        delta = diff_config(self.old, self.new)
        self.assertIsNone(patch_config(self.new, delta))
        self.assertIsNone(patch_config(self.old, delta._replace(change_id="other")))


if __name__ == "__main__":
    unittest.main()
