from __future__ import annotations

import unittest

from cactussaddle_core.config.change import diff_docs
from cactussaddle_core.config.change import merge_moves
from cactussaddle_core.config.change import next_doc
from cactussaddle_core.config.change import without_move
from cactussaddle_core.config.fold import fold_final
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.config.verdict import Verdict
from cactussaddle_core.config.verdict import decode_verdict
from cactussaddle_core.config.verdict import move_status
from cactussaddle_core.exceptions import ConfigError
from tests.core.config.samples import WALL
from tests.core.config.samples import doc_with
from tests.core.config.samples import leaf
from tests.core.config.samples import move
from tests.core.config.samples import new_leaves
from tests.core.config.samples import sample_doc

HOUR_S = 3600.0


def verdict(state, at=WALL - 2 * HOUR_S) -> Verdict:
    return {"state": state, "at": at, "reason": "", "node": "e1"}


class ChangeTest(unittest.TestCase):
    def test_next_revision(self):
        rows = merge_moves(sample_doc(), [move("domain-out", "dublin")])
        doc = next_doc(sample_doc(), "c2", rows)
        self.assertEqual((doc["revision"], doc["change_id"], len(doc["moves"])), (2, "c2", 1))
        self.assertEqual(without_move(doc, "c3", "domain-out-dublin")["moves"], [])

    def test_diff_describes_each_entry(self):
        new = sample_doc()
        new["services"][0]["slots"] = 4
        new["leaves"] = new["leaves"][1:]
        new["moves"] = [move("domain-out", "dublin", id="x")]
        lines = [str(one) for one in diff_docs(sample_doc(), new)]
        self.assertIn("changed services[bench-finder-01]: slots 6 -> 4", lines)
        self.assertTrue(lines[1].startswith("removed leaves[bf-lim]: service bench-finder-01"))
        self.assertTrue(lines[2].startswith("added moves[x]: kind domain-out, target dublin"))
        self.assertEqual(diff_docs(new, new), ())


class FoldTest(unittest.TestCase):
    def fold(self, *moves, **verdicts):
        doc = fold_final(doc_with(*moves), verdicts, WALL)
        return [row["id"] for row in doc["moves"]], [one["name"] for one in doc["leaves"]]

    def test_done_moves_are_kept_for_an_hour(self):
        row = move("leave", "bf-lim", -700, -600, id="x")
        self.assertEqual(self.fold(row, x=verdict("done", WALL - 60))[0], ["x"])
        rows, leaves = self.fold(row, x=verdict("done"))
        self.assertEqual(rows, [])
        self.assertNotIn("bf-lim", leaves)

    def test_a_completed_version_move_replaces_the_leaves(self):
        new = new_leaves("renewals", "2.0")
        row = move("version", "renewals", id="x", version="2.0", leaves=new)
        _, leaves = self.fold(row, x=verdict("done"))
        self.assertEqual(
            [name for name in leaves if name.startswith("re")], sorted(one["name"] for one in new)
        )

    def test_a_move_taken_back_is_kept_for_an_hour_unless_its_leaves_are_added_again(self):
        new = new_leaves("renewals", "2.0")
        row = move("version", "renewals", id="x", version="2.0", leaves=new)
        recent = verdict("taken back", WALL)
        rows, leaves = self.fold(row, x=recent)
        self.assertEqual((rows, len(leaves)), (["x"], 5))
        self.assertEqual(self.fold(row, x=verdict("taken back"))[0], [])
        again = move("version", "renewals", 900, 999, id="y", version="2.0", leaves=new)
        self.assertEqual(self.fold(row, again, x=recent)[0], ["y"])

    def test_a_domain_out_of_service_is_kept_until_both_moves_are_final(self):
        out = move("domain-out", "dublin", -900, -800, id="a")
        back = move("domain-in", "dublin", -700, -600, id="b")
        self.assertEqual(self.fold(out, a=verdict("done"))[0], ["a"])
        self.assertEqual(self.fold(out, back, a=verdict("done"), b=verdict("done"))[0], [])
        self.assertEqual(self.fold(out, back, b=verdict("done"))[0], ["a", "b"])
        self.assertEqual(self.fold(out, back, a=verdict("done"))[0], ["a", "b"])

    def test_a_move_is_folded_only_after_earlier_moves_of_its_service(self):
        new = leaf("re-wat", "renewals", "waterford", 9)
        place = move("place", "renewals", -900, -800, id="a", leaves=[new])
        leave = move("leave", "re-wat", -700, -600, id="b")
        self.assertEqual(self.fold(place, leave, b=verdict("done"))[0], ["a", "b"])
        rows, leaves = self.fold(place, leave, a=verdict("done"), b=verdict("done"))
        self.assertEqual((rows, len(leaves)), ([], 5))


class StatusTest(unittest.TestCase):
    def test_status_follows_the_clock_until_there_is_a_verdict(self):
        row = move("domain-out", "dublin", 0, 60)
        states = [move_status(row, None, WALL + t).state for t in (-1, 0, 60)]
        self.assertEqual(states, [MoveState.PENDING, MoveState.UNDER_WAY, MoveState.UNDER_WAY])
        final = move_status(row, verdict("done"), WALL - 1)
        self.assertTrue(final.final)

    def test_a_verdict_must_be_final(self):
        with self.assertRaisesRegex(ConfigError, "pending"):
            decode_verdict(b'{"state":"pending","at":1,"reason":"","node":""}')
