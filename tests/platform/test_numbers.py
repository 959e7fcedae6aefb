from __future__ import annotations

import unittest

from cactussaddle_platform.numbers import read_ms


class NumbersTest(unittest.TestCase):
    def test_milliseconds(self):
        self.assertEqual(read_ms(b"1500"), 1.5)
        self.assertEqual(read_ms(b"0.5"), 0.0005)
        self.assertEqual(read_ms(b"-3"), 0.0)

    def test_anything_but_a_finite_number_gives_none(self):
        for value in (b"", b"x", b"nan", b"inf", b"-inf", b"1e999", b"\xff", b"1,5"):
            self.assertIsNone(read_ms(value), value)


if __name__ == "__main__":
    unittest.main()
