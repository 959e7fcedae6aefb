from __future__ import annotations

import unittest

from cactussaddle_core.fanout.records import top_records


def record(value: int) -> bytes:
    return value.to_bytes(16, "big")


class GreatestRecordsTest(unittest.TestCase):
    def test_the_greatest_come_first_and_equal_ones_all_count(self):
        bodies = [record(3) + record(1), record(3) + record(2)]
        self.assertEqual(top_records(bodies, 3), record(3) + record(3) + record(2))

    def test_a_rest_shorter_than_a_record_is_none(self):
        self.assertEqual(top_records([record(5) + b"\xff" * 15], 10), record(5))

    def test_bytes_are_compared_not_numbers_of_text(self):
        low, high = b"\x00" * 15 + b"\xff", b"\x01" + b"\x00" * 15
        self.assertEqual(top_records([low + high], 1), high)

    def test_nothing_gives_nothing(self):
        self.assertEqual(top_records([], 5), b"")
