from __future__ import annotations

import unittest

from cactussaddle_core.limits.roster import ABSENT_S
from cactussaddle_core.limits.roster import JOIN_S
from cactussaddle_core.limits.roster import SHARE_VALID_S
from cactussaddle_core.limits.roster import Enrolment
from cactussaddle_core.limits.roster import Roster
from cactussaddle_core.limits.roster import RosterRecord
from cactussaddle_core.limits.roster import enrol

WINDOW_S = 10.0
OLD = Enrolment(was_listed=True, has_reserve=True)
NEW = Enrolment(was_listed=False, has_reserve=True)


class EnrolTest(unittest.TestCase):
    def test_the_reserve_is_granted_once_a_window(self) -> None:
        known = RosterRecord("earlier", 50_000.0)
        cases = ((59_999.0, False), (60_000.0, True), (50_000.0, False), (40_000.0, False))
        for now_ms, granted in cases:
            with self.subTest(now_ms=now_ms):
                found = enrol(known, "this", WINDOW_S, now_ms)
                self.assertEqual(found, Enrolment(was_listed=True, has_reserve=granted))

    def test_a_write_whose_answer_was_lost_is_this_processs_own(self) -> None:
        found = enrol(RosterRecord("this", 50_000.0), "this", WINDOW_S, 51_000.0)
        self.assertTrue(found.has_reserve)

    def test_a_node_without_a_record_is_new(self) -> None:
        self.assertEqual(enrol(None, "this", WINDOW_S, 0.0), NEW)


class RosterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.roster = Roster(node="a")

    def has_share(self, now: float, away_s: float = 0.0) -> bool:
        return self.roster.has_share(away_s, now)

    def test_a_node_that_was_listed_before_has_a_share_once_it_has_read_the_roster(self) -> None:
        self.roster.enrolled(OLD, 1.0)
        self.assertFalse(self.has_share(1.0))
        self.roster.listed(["a", "b"], 1.2)
        self.assertTrue(self.has_share(1.2))

    def test_a_listing_alone_gives_no_share(self) -> None:
        self.roster.listed(["a", "b"], 1.0)
        self.assertFalse(self.has_share(100.0))

    def test_a_new_node_waits_until_the_others_have_read_of_it(self) -> None:
        self.roster.listed(["b"], 0.5)
        self.roster.enrolled(NEW, 1.0)
        self.roster.seen("a")
        self.assertFalse(self.has_share(1.0 + JOIN_S - 0.1))
        self.assertTrue(self.has_share(1.0 + JOIN_S))

    def test_a_node_whose_record_has_gone_has_no_share_until_it_is_back_for_a_while(self) -> None:
        self.roster.listed(["a", "b"], 0.0)
        self.roster.enrolled(OLD, 0.0)
        self.roster.gone("a", 5.0)
        self.assertFalse(self.has_share(5.0))
        self.roster.seen("a")
        self.assertFalse(self.has_share(5.1))
        self.assertTrue(self.has_share(5.0 + JOIN_S))

    def test_a_node_cut_off_stops_using_its_share_before_the_others_forget_it(self) -> None:
        self.roster.listed(["a"], 0.0)
        self.roster.enrolled(OLD, 0.0)
        self.assertTrue(self.has_share(500.0, away_s=SHARE_VALID_S - 1.0))
        self.assertFalse(self.has_share(500.0, away_s=SHARE_VALID_S))
        self.assertLess(SHARE_VALID_S, ABSENT_S)

    def test_one_registered_node_removes_those_that_are_long_gone(self) -> None:
        rosters = [Roster(node=name) for name in ("a", "b", "c")]
        removed: list[str] = []
        for roster in rosters:
            roster.listed(["a", "b", "c", "gone"], 0.0)
            self.assertEqual(roster.overdue({"a", "b", "c"}, 1.0), [])
            self.assertEqual(roster.overdue({"a", "b", "c"}, 0.9 + ABSENT_S), [])
            removed += roster.overdue({"a", "b", "c"}, 1.0 + ABSENT_S)
        self.assertEqual(removed, ["gone"])

    def test_time_without_the_store_does_not_count_as_absence(self) -> None:
        self.roster.listed(["a", "gone"], 0.0)
        self.roster.overdue({"a"}, 0.0)
        self.roster.store_lost()
        self.assertEqual(self.roster.overdue({"a"}, 2.0 * ABSENT_S), [])

    def test_names_that_are_registered_again_are_not_removed(self) -> None:
        self.roster.listed(["a", "b"], 0.0)
        self.roster.overdue({"a"}, 0.0)
        self.roster.overdue({"a", "b"}, 10.0)
        self.assertEqual(self.roster.overdue({"a"}, 1.0 + ABSENT_S), [])


if __name__ == "__main__":
    unittest.main()
