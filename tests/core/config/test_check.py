from __future__ import annotations

import copy
import math
import unittest

from cactussaddle_core.config.check import check_doc
from tests.core.config.samples import WALL
from tests.core.config.samples import doc_with
from tests.core.config.samples import leaf
from tests.core.config.samples import move
from tests.core.config.samples import new_leaves
from tests.core.config.samples import sample_doc


def keys(doc, **more):
    return [fault.key for fault in check_doc(doc, WALL, **more)]


def taken_back(at=WALL):
    return {"state": "taken back", "at": at, "reason": "slow", "node": "e1"}


class PartsTest(unittest.TestCase):
    def test_a_valid_document_has_no_fault(self):
        self.assertEqual(check_doc(sample_doc(), WALL), ())

    def test_each_invalid_value_is_reported_with_its_key(self):
        cases = [
            ("domains", 0, "name", "dublin", "domains[dublin].name"),
            ("domains", 0, "region", " ", "domains[limerick].region"),
            ("services", 0, "slots", 0, "services[bench-finder-01].slots"),
            ("services", 0, "connections", 0, "services[bench-finder-01].connections"),
            ("services", 0, "connect_ms", -1.0, "services[bench-finder-01].connect_ms"),
            ("services", 0, "cold_slots", 7, "services[bench-finder-01].cold_slots"),
            ("leaves", 0, "service", "none", "leaves[bf-lim].service"),
            ("leaves", 0, "domain", "cork", "leaves[bf-lim].domain"),
            ("leaves", 0, "version", "", "leaves[bf-lim].version"),
            ("leaves", 0, "address", "host:80", "leaves[bf-lim].address"),
            ("leaves", 0, "address", "10.0.0.1:99999", "leaves[bf-lim].address"),
            ("leaves", 1, "address", "10.0.0.1:8000", "leaves[bf-dub].address"),
            ("leaves", 0, "name", "a b", "leaves[a b].name"),
            ("routes", 0, "services", [], "routes[bench-finder].services"),
            ("routes", 0, "services", ["none"], "routes[bench-finder].services"),
            ("routes", 0, "priority", -1, "routes[bench-finder].priority"),
            ("routes", 0, "deadline_ms", 0, "routes[bench-finder].deadline_ms"),
            ("routes", 0, "min_coverage", math.nan, "routes[bench-finder].min_coverage"),
        ]
        for part, place, name, value, key in cases:
            with self.subTest(key=key, value=value):
                doc: dict = copy.deepcopy(dict(sample_doc()))
                doc[part][place][name] = value
                self.assertIn(key, keys(doc))

    def test_a_service_without_leaves_is_a_fault(self):
        doc = sample_doc()
        doc["leaves"] = [one for one in doc["leaves"] if one["service"] != "renewals"]
        self.assertEqual(keys(doc), ["services[renewals]"])

    def test_a_document_too_large_for_the_store(self):
        doc = sample_doc()
        doc["domains"][0]["region"] = "x" * 1_000_000
        self.assertEqual(keys(doc), ["document"])

    def test_all_faults_are_reported_at_once(self):
        doc = sample_doc()
        doc["leaves"][0]["domain"] = "cork"
        doc["services"][0]["slots"] = 0
        doc["moves"] = [move("domain-out", "cork", id="x")]
        expected = ["leaves[bf-lim].domain", "moves[x].target", "services[bench-finder-01].slots"]
        self.assertEqual(sorted(keys(doc)), expected)


class MovesTest(unittest.TestCase):
    def assert_fault(self, key, *moves, reason=""):
        faults = check_doc(doc_with(*moves), WALL)
        self.assertEqual([fault.key for fault in faults], [key])
        self.assertIn(reason, faults[0].reason)

    def test_valid_moves(self):
        plan = doc_with(
            move("domain-out", "dublin"),
            move("domain-in", "dublin", 600, 900),
            move("place", "renewals", leaves=[leaf("re-wat", "renewals", "waterford", 9)]),
            move("leave", "bf-lim"),
            move(
                "version",
                "bench-finder-01",
                version="2.0",
                leaves=new_leaves("bench-finder-01", "2.0"),
            ),
        )
        self.assertEqual(check_doc(plan, WALL), ())

    def test_invalid_moves(self):
        two = new_leaves("renewals", "2.0")
        cases = [
            ("moves[x].kind", move("restart", "dublin", id="x")),
            ("moves[x].target", move("domain-out", "cork", id="x")),
            ("moves[x].target", move("leave", "dublin", id="x")),
            ("moves[x].finish", move("domain-out", "dublin", 60, 60, id="x")),
            ("moves[x].start", move("domain-out", "dublin", -1, 60, id="x")),
            ("moves[x].finish", move("domain-out", "dublin", 0, 400 * 86400.0, id="x")),
            ("moves[x].start", move("domain-out", "dublin", math.inf, 60, id="x")),
            ("moves[x].version", move("version", "renewals", id="x", leaves=two)),
            ("moves[x].leaves", move("version", "renewals", id="x", version="2.0")),
            ("moves[x].version", move("domain-out", "dublin", id="x", version="2.0")),
            (
                "moves[x].version",
                move(
                    "version",
                    "renewals",
                    id="x",
                    version="1.0",
                    leaves=[leaf("n", "renewals", "dublin", 9)],
                ),
            ),
            (
                "moves[x].leaves",
                move("place", "renewals", id="x", leaves=[leaf("bf-lim", "renewals", "dublin", 9)]),
            ),
            (
                "moves[x].leaves",
                move("place", "renewals", id="x", leaves=[leaf("n", "renewals", "dublin", 1)]),
            ),
            (
                "moves[x].leaves[n].domain",
                move("place", "renewals", id="x", leaves=[leaf("n", "renewals", "cork", 9)]),
            ),
        ]
        for key, row in cases:
            with self.subTest(key=key, row=row):
                self.assert_fault(key, row)

    def test_past_times_of_a_new_move_are_reported_by_key(self):
        doc = doc_with(move("domain-out", "dublin", -60, -1, id="x"))
        self.assertEqual(keys(doc), ["moves[x].start", "moves[x].finish"])
        self.assertEqual(keys(doc_with(move("domain-out", "dublin", 0, 60, id="x"))), [])

    def test_overlap_names_the_later_move(self):
        first = move("domain-out", "dublin", 0, 600, id="a")
        second = move("domain-in", "dublin", 599, 900, id="b")
        self.assert_fault("moves[b].start", second, first, reason="overlaps move a")

    def test_the_last_domain_of_a_service_can_not_be_taken_out(self):
        rows = [move("domain-out", "dublin"), move("domain-out", "limerick", 300)]
        reason = "leave service renewals with no leaf"
        self.assert_fault("moves[domain-out-limerick].target", *rows, reason=reason)

    def test_a_domain_can_be_taken_out_once_the_other_is_back(self):
        rows = [move("domain-out", "dublin"), move("domain-in", "dublin", 600, 900)]
        late = move("domain-out", "limerick", 901, 1200)
        early = move("domain-out", "limerick", 899, 1200)
        self.assertEqual(check_doc(doc_with(*rows, late), WALL), ())
        self.assert_fault("moves[domain-out-limerick].target", *rows, early)

    def test_the_last_leaf_can_not_leave_before_a_replacement_is_placed(self):
        rows = [move("leave", "re-lim"), move("leave", "re-dub", 700, 900)]
        self.assert_fault("moves[leave-re-dub].target", *rows)
        new = move("place", "renewals", leaves=[leaf("re-wat", "renewals", "waterford", 9)])
        self.assertEqual(check_doc(doc_with(*rows, new), WALL), ())

    def test_a_version_whose_only_domain_is_taken_out(self):
        rows = [
            move(
                "version",
                "renewals",
                version="2.0",
                leaves=[leaf("re2", "renewals", "waterford", 9, "2.0")],
            ),
            move("domain-out", "waterford", 700, 900),
        ]
        self.assert_fault("moves[domain-out-waterford].target", *rows)


class HistoryTest(unittest.TestCase):
    def test_a_move_that_has_begun_can_not_be_changed(self):
        old = doc_with(move("domain-out", "dublin", -60, 600, id="x"))
        new = doc_with(move("domain-out", "dublin", -60, 900, id="x"))
        self.assertEqual(keys(new, previous=old), ["moves[x]"])

    def test_a_pending_move_can_be_changed(self):
        old = doc_with(move("domain-out", "dublin", 60, 600, id="x"))
        new = doc_with(move("domain-out", "dublin", 60, 900, id="x"))
        self.assertEqual(keys(new, previous=old), [])

    def test_a_pending_move_can_not_be_changed_to_begin_in_the_past(self):
        old = doc_with(move("domain-out", "dublin", 60, 600, id="x"))
        new = doc_with(move("domain-out", "dublin", -1, 600, id="x"))
        self.assertEqual(keys(new, previous=old), ["moves[x].start"])

    def test_a_move_can_be_added_while_another_is_under_way(self):
        old = doc_with(move("domain-out", "dublin", -60, 600, id="x"))
        new = doc_with(*old["moves"], move("leave", "bf-lim"))
        self.assertEqual(keys(new, previous=old), [])

    def test_a_final_move_can_not_be_changed(self):
        old = doc_with(move("domain-out", "dublin", 60, 600, id="x"))
        new = doc_with(move("domain-out", "dublin", 60, 900, id="x"))
        faults = check_doc(new, WALL, old, {"x": taken_back()})
        self.assertEqual([fault.key for fault in faults], ["moves[x]"])
        self.assertIn("taken back", faults[0].reason)

    def test_an_accepted_move_may_finish_in_the_past(self):
        old = doc_with(move("domain-out", "dublin", -600, -60))
        self.assertEqual(keys(old, previous=old), [])

    def test_a_move_taken_back_does_not_conflict_with_others(self):
        failed = move("version", "renewals", version="2.0", leaves=new_leaves("renewals", "2.0"))
        again = move(
            "version", "renewals", id="again", version="2.1", leaves=new_leaves("renewals", "2.1")
        )
        doc = doc_with(failed, again)
        self.assertNotEqual(keys(doc), [])
        self.assertEqual(keys(doc, verdicts={failed["id"]: taken_back()}), [])

    def test_leaves_can_be_placed_in_a_service_that_lost_all(self):
        gone = [move("leave", "re-lim", -600, -60), move("leave", "re-dub", -600, -60)]
        mend = move("place", "renewals", leaves=[leaf("re-wat", "renewals", "waterford", 9)])
        self.assertEqual(keys(doc_with(*gone, mend), previous=doc_with(*gone)), [])

    def test_an_existing_fault_does_not_block_other_changes(self):
        old = doc_with(move("domain-out", "cork", id="bad"))
        new = doc_with(*old["moves"], move("domain-out", "dublin"))
        self.assertEqual(keys(new, previous=old), [])
        worse = doc_with(*old["moves"], move("domain-out", "galway", id="worse"))
        self.assertEqual(keys(worse, previous=old), ["moves[worse].target"])
