from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cactussaddle_core.sheet.plan import plan_sheet
from cactussaddle_core.sheet.rows import read_sheet
from tests.core.config.samples import WALL
from tests.core.config.samples import sample_doc

ZONE = "Europe/Dublin"
HEADER = "action,target,start,finish,version,leaves"
OUT = "out,dublin,2027-02-01 07:30,2027-02-01 07:40,,"
BACK = "in,dublin,2027-02-01 08:30,2027-02-01 08:40,,"
VERSION = (
    "version,renewals,2027-02-01 09:00,2027-02-01 10:00,2.0,"
    '"re-2a limerick 10.0.0.21:8000 | re-2b dublin 10.0.0.22:8000"'
)


def sheet(*lines: str, header: str = HEADER) -> bytes:
    return "\r\n".join((header, *lines)).encode()


def errors_of(data: bytes) -> list[str]:
    return [str(error) for error in read_sheet(data, ZONE).failure()]


def rows_of(data: bytes):
    return read_sheet(data, ZONE).unwrap()


class SheetTest(unittest.TestCase):
    def test_rows_are_converted_to_moves(self):
        rows = rows_of(sheet(OUT, VERSION))
        self.assertEqual([row.row for row in rows], [2, 3])
        self.assertEqual(rows[0].move["kind"], "domain-out")
        self.assertEqual(rows[1].move["version"], "2.0")
        self.assertEqual(
            rows[1].move["leaves"][1],
            {
                "name": "re-2b",
                "service": "renewals",
                "domain": "dublin",
                "address": "10.0.0.22:8000",
                "version": "2.0",
            },
        )

    def test_csv_variants_yield_the_same_moves(self):
        plain = rows_of(sheet(OUT, VERSION))
        semicolon = sheet(OUT, VERSION).decode().replace(",", ";")
        quoted = sheet(OUT, VERSION, header='"Action","Target","Start","Finish","Version","Leaves"')
        trailing = sheet(OUT + ",,", VERSION + ",,", header=HEADER + ",,")
        variants = [
            b"\xef\xbb\xbf" + sheet(OUT, VERSION),
            semicolon.encode(),
            ("sep=;\r\n" + semicolon).encode(),
            semicolon.replace(";", "\t").encode(),
            quoted,
            trailing,
            sheet(OUT, VERSION).replace(b"\r\n", b"\n"),
            sheet(OUT, VERSION).replace(b" | ", b"\n"),
            sheet(OUT, VERSION).replace(b"07:30", b"07:30 "),
        ]
        for data in variants:
            with self.subTest(data=data):
                self.assertEqual([row.move for row in rows_of(data)], [row.move for row in plain])

    def test_blank_rows_are_numbered_but_skipped(self):
        rows = rows_of(sheet("", ",,,,,", OUT, "  ", BACK, ""))
        self.assertEqual([row.row for row in rows], [4, 6])

    def test_all_errors_are_reported_with_row_and_column(self):
        found = errors_of(
            sheet(
                "restart,dublin,2027-02-01 07:30,2027-02-01 07:40,,",
                "out,,03/04/2027 07:30,2027-02-01 07:40,,",
                "out,dublin,2027-02-01 07:30,2027-02-01 07:30,2.0,",
                "place,renewals,2027-02-01 07:30,2027-02-01 07:40,2.0,re-9 limerick",
            )
        )
        places = [error.partition(":")[0] for error in found]
        self.assertEqual(
            places,
            [
                "row 2, column action",
                "row 3, column start",
                "row 3, column target",
                "row 4, column finish",
                "row 4, column version",
                "row 5, column leaves",
            ],
        )

    def test_invalid_sheets(self):
        cases = [
            (b"", "sheet: is empty"),
            (sheet(OUT).decode().encode("utf-16"), "sheet: is not UTF-8"),
            (sheet(OUT, 'out,"dub'), "sheet: is not CSV, row 3"),
            (sheet(OUT, header="action,target,start"), "row 1, column finish"),
            (sheet(OUT, header=HEADER + ",colour"), "row 1, column colour: unknown"),
            (sheet(OUT, header=HEADER + ",start"), "row 1, column start: is there twice"),
            (sheet(OUT + ",stray"), "row 2: has 7 cells, the header 6"),
            (b"sep=|\r\n" + sheet(OUT), "sheet: names the separator '|'"),
            (sheet(OUT, OUT), "row 3, column id"),
        ]
        for data, message in cases:
            with self.subTest(message=message):
                self.assertIn(message, " / ".join(errors_of(data)))

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=200), st.integers(0, 300))
    def test_no_bytes_raise(self, noise, place):
        data = sheet(OUT, VERSION)
        for odd in (noise, data[:place] + noise + data[place:]):
            read_sheet(odd, ZONE)


class PlanTest(unittest.TestCase):
    def plan(self, doc, data, verdicts=None, wall=WALL):
        return plan_sheet(doc, rows_of(data), verdicts or {}, wall, "c2")

    def test_the_same_sheet_twice_changes_nothing(self):
        first = self.plan(sample_doc(), sheet(OUT, VERSION)).unwrap()
        self.assertEqual((first.doc["revision"], len(first.added)), (2, 2))
        second = self.plan(first.doc, sheet(VERSION, OUT)).unwrap()
        self.assertIsNone(second.doc)
        self.assertEqual(len(second.unchanged), 2)

    def test_a_start_in_the_past_is_reported_with_row_and_column(self):
        begun = rows_of(sheet(OUT))[0].move["start"] + 1.0
        found = [str(e) for e in self.plan(sample_doc(), sheet(BACK, OUT), wall=begun).failure()]
        self.assertEqual(len(found), 1)
        self.assertIn("row 3, column start: has passed", found[0])

    def test_a_row_accepted_before_its_start_remains_valid(self):
        first = self.plan(sample_doc(), sheet(OUT)).unwrap()
        begun = rows_of(sheet(OUT))[0].move["start"] + 1.0
        again = self.plan(first.doc, sheet(OUT), wall=begun).unwrap()
        self.assertIsNone(again.doc)
        more = self.plan(first.doc, sheet(OUT, BACK), wall=begun).unwrap()
        self.assertEqual((len(more.added), len(more.doc["moves"])), (1, 2))

    def test_a_final_row_changes_nothing(self):
        first = self.plan(sample_doc(), sheet(OUT)).unwrap()
        verdict = {"state": "taken back", "at": WALL, "reason": "cancelled", "node": "cli"}
        again = self.plan(sample_doc(), sheet(OUT), {first.added[0]: verdict}).unwrap()
        self.assertIsNone(again.doc)
        self.assertEqual(again.final, first.added)

    def test_a_pending_row_with_an_id_can_be_changed(self):
        header = "id," + HEADER
        first = self.plan(sample_doc(), sheet("a," + OUT, header=header)).unwrap()
        later = sheet("a," + OUT.replace("07:40", "07:50"), header=header)
        second = self.plan(first.doc, later).unwrap()
        self.assertEqual((second.changed, len(second.doc["moves"])), (("a",), 1))

    def test_a_sheet_with_errors_yields_no_plan(self):
        bad = sheet(OUT, OUT.replace("dublin", "limerick"), OUT.replace("dublin", "cork"))
        found = [str(error) for error in self.plan(sample_doc(), bad).failure()]
        self.assertEqual(found, ["row 4, column target: no failure domain 'cork'"])
        bad = sheet(OUT, OUT.replace("dublin", "limerick"))
        found = [str(error) for error in self.plan(sample_doc(), bad).failure()]
        self.assertEqual(len(found), 1)
        self.assertIn("column target: would leave service renewals with no leaf", found[0])

    def test_a_conflict_with_the_plan_is_reported_with_its_row(self):
        first = self.plan(sample_doc(), sheet(OUT)).unwrap()
        clash = sheet("out,dublin,2027-02-01 07:35,2027-02-01 07:45,,")
        found = [str(error) for error in self.plan(first.doc, clash).failure()]
        self.assertIn("row 2, column start: overlaps move out-dublin-", found[0])
        clash = sheet("out,dublin,2027-02-01 07:20,2027-02-01 07:35,,")
        found = [str(error) for error in self.plan(first.doc, clash).failure()]
        self.assertIn("row 2: clashes with the plan in force: moves[out-dublin-", found[0])
