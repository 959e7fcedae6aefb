from __future__ import annotations

import unittest

from cactussaddle_core.fanout.records import top_records


def record(value: int) -> bytes:
    return value.to_bytes(16, "big")


class TopRecordsTest(unittest.TestCase):
    def test_records_are_sorted_descending_and_duplicates_are_kept(self):
        bodies = [record(3) + record(1), record(3) + record(2)]
        self.assertEqual(top_records(bodies, 3), record(3) + record(3) + record(2))

    def test_a_trailing_partial_record_is_ignored(self):
        self.assertEqual(top_records([record(5) + b"\xff" * 15], 10), record(5))

    def test_records_are_compared_as_bytes(self):
        low, high = b"\x00" * 15 + b"\xff", b"\x01" + b"\x00" * 15
        self.assertEqual(top_records([low + high], 1), high)

    def test_no_bodies_give_no_records(self):
        self.assertEqual(top_records([], 5), b"")
