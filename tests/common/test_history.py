from __future__ import annotations

import random
import unittest

from typing import Any

import trio

from cactussaddle_common.configstore import Accepted
from cactussaddle_common.configstore import read_config
from cactussaddle_common.configstore import write_config
from cactussaddle_common.history import HISTORY_PREFIX
from cactussaddle_common.history import MAX_REVISIONS
from cactussaddle_common.history import next_index
from cactussaddle_common.store import EtcdStore
from cactussaddle_core.config.change import next_doc
from cactussaddle_core.config.model import encode_doc
from tests.common.fake_etcd import FakeEtcd
from tests.core.config.samples import move
from tests.core.config.samples import sample_doc

SEEDS = 20
MAX_BYTES = 30_000


class IndexTest(unittest.TestCase):
    def test_total_size_never_exceeds_the_bound(self):
        for seed in range(SEEDS):
            rng = random.Random(seed)
            index = None
            for revision in range(1, 200):
                index = next_index(index, revision, rng.randint(1, 5000), MAX_BYTES)
                self.assertLessEqual(sum(index["sizes"]), MAX_BYTES)
                self.assertEqual(index["first"] + len(index["sizes"]) - 1, revision)

    def test_unknown_sizes_and_maximum_count(self):
        self.assertEqual(next_index(None, 9, 10, 35), {"first": 7, "sizes": [10, 10, 10]})
        index = next_index({"first": 7, "sizes": [1, 1]}, 10, 10, 1000)
        self.assertEqual(index, {"first": 7, "sizes": [1, 1, 10, 10]})
        many = next_index(None, 9000, 1, MAX_BYTES)
        self.assertEqual(len(many["sizes"]), MAX_REVISIONS)


class HistoryTest(unittest.TestCase):
    def test_write_that_exceeds_the_bound_deletes_old_revisions(self):
        fake = FakeEtcd()

        async def main() -> Any:
            async with EtcdStore(
                endpoint="http://127.0.0.1:1", timeout_s=1.0, transport=fake.transport()
            ) as store:
                doc, base = sample_doc(), None
                for number in range(20):
                    written = await write_config(store, doc, base, MAX_BYTES)
                    self.assertIsInstance(written.unwrap(), Accepted)
                    self.check(fake)
                    base = (await read_config(store)).unwrap()
                    moves = [move("leave", "x" * 99, id=f"{n}") for n in range(number)]
                    doc = next_doc(doc, f"c{number}", moves)
                return base

        index = trio.run(main).kept
        kept = [key for key in fake.kvs if key.startswith(HISTORY_PREFIX)]
        self.assertEqual(len(kept), len(index["sizes"]))
        self.assertLess(len(kept), 20)
        self.assertEqual(index["sizes"][0], self.size(fake, min(kept)))

    def size(self, fake, key):
        return len(encode_doc(fake.doc(key)))

    def check(self, fake):
        kept = [key for key in fake.kvs if key.startswith(HISTORY_PREFIX)]
        self.assertLessEqual(sum(self.size(fake, key) for key in kept), MAX_BYTES)
