from __future__ import annotations

import datetime
import unittest

from cactussaddle_core.sheet.times import read_time
from cactussaddle_core.sheet.times import read_zone

DUBLIN = read_zone("Europe/Dublin")
QUITO = read_zone("America/Guayaquil")


def utc(*parts: int) -> float:
    return datetime.datetime(*parts, tzinfo=datetime.UTC).timestamp()  # type: ignore[arg-type, misc]


class TimesTest(unittest.TestCase):
    def test_unambiguous_formats(self):
        cases = {
            "2026-12-04 07:30": (2026, 12, 4, 7, 30),
            "2026-12-04T07:30:15": (2026, 12, 4, 7, 30, 15),
            "2026/12/04 07:30": (2026, 12, 4, 7, 30),
            "31/12/2026 07:30": (2026, 12, 31, 7, 30),
            "12/31/2026 07:30": (2026, 12, 31, 7, 30),
            "31.12.2026 7:30": (2026, 12, 31, 7, 30),
            "03/03/2026 07:30": (2026, 3, 3, 7, 30),
            "4 Dec 2026 07:30": (2026, 12, 4, 7, 30),
            "4 december 2026 07:30 PM": (2026, 12, 4, 19, 30),
            "Dec 4, 2026 12:00am": (2026, 12, 4, 0, 0),
            "04-Dec-2026 07:30": (2026, 12, 4, 7, 30),
        }
        for text, parts in cases.items():
            with self.subTest(text=text):
                self.assertEqual(read_time(text, DUBLIN), utc(*parts))

    def test_time_zones_and_offsets(self):
        self.assertEqual(read_time("2026-12-04 07:30", QUITO), utc(2026, 12, 4, 12, 30))
        self.assertEqual(read_time("2026-07-04 07:30", DUBLIN), utc(2026, 7, 4, 6, 30))
        self.assertEqual(read_time("2026-07-04 07:30Z", DUBLIN), utc(2026, 7, 4, 7, 30))
        self.assertEqual(read_time("2026-07-04 07:30 +02:00", None), utc(2026, 7, 4, 5, 30))

    def test_rejected_texts_raise_with_the_reason(self):
        cases = {
            "03/04/2026 07:30": "may mean 2026-03-04 or 2026-04-03",
            "03.04.2026 07:30": "may mean",
            "31/12/26 07:30": "not a date that can be read",
            "31/13/2026 07:30": "not a date of the calendar",
            "2026-02-30 07:30": "not a date of the calendar",
            "2026-12-04": "not a date with a time of day",
            "2026-12-04 25:00": "not a time of day",
            "46360.3125": "not a date with a time of day",
            "tomorrow 07:30": "not a date that can be read",
            "": "not a date with a time of day",
            "2026-03-29 01:30": "does not exist in Europe/Dublin",
            "2026-10-25 01:30": "comes twice in Europe/Dublin",
        }
        for text, reason in cases.items():
            with self.subTest(text=text), self.assertRaisesRegex(ValueError, reason):
                read_time(text, DUBLIN)

    def test_missing_or_unknown_time_zone(self):
        with self.assertRaisesRegex(ValueError, "no time zone"):
            read_time("2026-12-04 07:30", None)
        with self.assertRaisesRegex(ValueError, "unknown time zone 'Dublin'"):
            read_zone("Dublin")
