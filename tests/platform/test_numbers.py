from __future__ import annotations

import unittest

from cactussaddle_platform.numbers import read_ms
from cactussaddle_platform.numbers import read_rate
from cactussaddle_platform.numbers import read_seconds


class NumbersTest(unittest.TestCase):
    def test_milliseconds(self):
        self.assertEqual(read_ms(b"1500"), 1.5)
        self.assertEqual(read_ms(b"0.5"), 0.0005)
        self.assertEqual(read_ms(b"-3"), 0.0)

    def test_rates(self):
        self.assertEqual([read_rate(b"12.5"), read_rate(b"0")], [12.5, 0.0])
        for value in (b"", b"x", b"-1", b"nan", b"inf", b"1,2"):
            self.assertIsNone(read_rate(value), value)

    def test_seconds(self):
        self.assertEqual([read_seconds(b"1.5"), read_seconds(b"90000")], [1.5, 90000.0])
        for value in (b"", b"x", b"-1", b"0", b"nan", b"inf", b"Fri, 31 Dec 1999 23:59:59 GMT"):
            self.assertIsNone(read_seconds(value), value)

    def test_anything_but_a_finite_number_gives_none(self):
        for value in (b"", b"x", b"nan", b"inf", b"-inf", b"1e999", b"\xff", b"1,5"):
            self.assertIsNone(read_ms(value), value)


if __name__ == "__main__":
    unittest.main()
