"""Documents, sheets and settings of any content get errors that say what is wrong."""

from __future__ import annotations

import copy
import unittest

from typing import Any

import msgspec

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure

from cactussaddle_common.settings import resolve
from cactussaddle_core.config.check import check_doc
from cactussaddle_core.config.model import decode_doc
from cactussaddle_core.exceptions import ConfigError
from cactussaddle_core.sheet.plan import plan_sheet
from cactussaddle_core.sheet.rows import read_sheet
from cactussaddle_node.settings import SETTINGS
from tests.core.config.samples import WALL
from tests.core.config.samples import sample_doc

FUZZ = settings(max_examples=300, derandomize=True, database=None, deadline=None)
HEADER = "action,target,start,finish,version,leaves"
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=8),
    st.builds(list),
    st.builds(dict),
)
SOUND = (
    ("out", "dublin", "2027-02-01 07:30", "2027-02-01 07:40", "", ""),
    ("in", "dublin", "2027-02-01 08:30", "2027-02-01 08:40", "", ""),
    ("out", "limerick", "2027-02-02 07:30", "2027-02-02 07:40", "", ""),
    ("place", "renewals", "2027-02-03 07:30", "2027-02-03 07:40", "2.0", "re-9 dublin 10.9.0.1:80"),
)
ODD = ("", "out", "leave", "cork", "limerick", "soon", "2027-02-01 07:35", "24:00", "re-9", "1.0")
ROWS = st.lists(
    st.tuples(
        st.sampled_from(SOUND),
        st.lists(st.tuples(st.integers(0, 5), st.sampled_from(ODD)), max_size=1),
    ),
    min_size=1,
    max_size=3,
    unique_by=lambda row: row[0],
)


def places(part, path=()):
    """Return the path of every value in a document."""
    items = part.items() if isinstance(part, dict) else enumerate(part)
    found = []
    for key, value in items:
        found.append((*path, key))
        if isinstance(value, (dict, list)):
            found += places(value, (*path, key))
    return found


PLACES = places(sample_doc())


class DocumentFuzzTest(unittest.TestCase):
    @FUZZ
    @given(st.lists(st.tuples(st.sampled_from(PLACES), VALUES), min_size=1, max_size=3))
    def test_a_changed_document_is_refused_or_checked(self, changes):
        doc: Any = copy.deepcopy(sample_doc())
        for path, value in changes:
            part: Any = doc
            try:
                for key in path[:-1]:
                    part = part[key]
                part[path[-1]] = value
            except (KeyError, IndexError, TypeError):
                continue
        try:
            decoded = decode_doc(msgspec.json.encode(doc))
        except ConfigError as exc:
            self.assertTrue(str(exc))
            return
        for fault in check_doc(decoded, WALL, sample_doc()):
            self.assertTrue(str(fault))

    @FUZZ
    @given(st.binary(max_size=80))
    def test_any_bytes_are_refused(self, data):
        with self.assertRaises(ConfigError):
            decode_doc(data)


class SheetFuzzTest(unittest.TestCase):
    accepted = 0
    refused = 0

    def test_a_sheet_is_refused_whole_or_makes_a_sound_document(self):
        FUZZ(given(ROWS)(self.look))()
        self.assertGreater(min(self.accepted, self.refused), 20)

    def look(self, rows):
        doc = sample_doc()
        before = copy.deepcopy(doc)
        lines = []
        for sound, changes in rows:
            cells = list(sound)
            for place, text in changes:
                cells[place] = text
            lines.append(",".join(cells))
        table = read_sheet("\n".join([HEADER, *lines]).encode(), "Europe/Dublin")
        result = table.bind(lambda read: plan_sheet(doc, read, {}, WALL, "c2"))
        self.assertEqual(doc, before)
        if isinstance(result, Failure):
            self.assertTrue(all(str(error).startswith("row ") for error in result.failure()))
            self.refused += 1
            return
        self.accepted += 1
        planned = result.unwrap()
        if planned.doc is not None:
            self.assertEqual(check_doc(planned.doc, WALL, before), ())
            self.assertEqual(len(planned.doc["moves"]), len(before["moves"]) + len(rows))


class SettingsFuzzTest(unittest.TestCase):
    @FUZZ
    @given(st.sampled_from(SETTINGS), st.text(max_size=30))
    def test_a_bad_value_is_named_and_nothing_raises(self, setting, text):
        result = resolve(SETTINGS, {setting.key: text}, {})
        for error in result.failure() if isinstance(result, Failure) else ():
            self.assertIn(error.setting.flag, str(error))
            self.assertTrue(error.value == text or error.value is None)
