from __future__ import annotations

import unittest

from cactussaddle_core import moves
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.exceptions import InvariantError
from cactussaddle_core.moves import evidence
from cactussaddle_core.moves import verdict
from cactussaddle_core.moves import versions
from tests.core.moves.measure import CASES
from tests.core.moves.model import MOVE
from tests.core.moves.model import SERVICE
from tests.core.moves.model import START
from tests.core.moves.model import Fleet
from tests.core.moves.model import build

DURATION_S = 60.0
SEED = 1
EXPOSED = 0.05


class ShareTest(unittest.TestCase):
    def test_planned_share_starts_at_canary_and_is_full_before_finish(self):
        move = build(DURATION_S).moves[MOVE]
        shares = [versions.planned_share(move, START + i) for i in range(-1, 61)]
        self.assertEqual(shares[0], 0.0)
        self.assertEqual(shares[1], versions.CANARY_SHARE)
        self.assertEqual(shares, sorted(shares))
        self.assertEqual(shares[int(0.75 * DURATION_S)], versions.FULL_SHARE)

    def test_first_half_of_the_plan_exposes_at_most_a_twentieth_of_the_calls(self):
        move = build(DURATION_S).moves[MOVE]
        shares = [versions.planned_share(move, START + i) for i in range(int(DURATION_S / 2))]
        self.assertLessEqual(sum(shares) / len(shares), EXPOSED + 1e-9)

    def test_share_stays_at_canary_without_enough_evidence(self):
        self.assertEqual(versions.evidence_cap(59, 59), versions.CANARY_SHARE)
        self.assertEqual(versions.evidence_cap(1000, 10), versions.CANARY_SHARE)
        self.assertEqual(versions.evidence_cap(1000, 100), 1.0)

    def test_second_move_starts_from_the_result_of_the_first(self):
        cfg = build(DURATION_S)
        second = {**cfg.moves[MOVE], "id": "m9", "version": "v3", "start": START + 100.0}
        cfg = cfg._replace(moves={**cfg.moves, "m9": second})
        shares = {MOVE: 1.0, "m9": 0.25}
        weights = versions.weights(cfg, SERVICE, lambda move: shares[move["id"]])
        self.assertEqual({k: v for k, v in weights.items() if v}, {"v2": 0.75, "v3": 0.25})


class EvidenceTest(unittest.TestCase):
    def test_snapshot_survives_encoding(self):
        table = evidence.RouteEvidenceTable(now=0.0)
        table.add_new("b0", evidence.Outcome(True, 0.02), 0.01)
        table.add_old(evidence.Outcome(False, 0.02), 0.0, 0.0)
        snapshot = evidence.Evidence("n0", "1", (table.snapshot("m", "r"),), ("m",), ())
        data = evidence.encode_evidence(snapshot)
        self.assertEqual(evidence.decode_evidence(data), snapshot)

    def test_many_routes_are_spread_over_several_snapshots(self):
        table = evidence.RouteEvidenceTable(now=0.0)
        for i in range(200):
            table.add_new(f"a-rather-long-leaf-name-{i % 9}", evidence.Outcome(True, 0.1), 0)
        routes = tuple(table.snapshot("m", f"r{i}") for i in range(100))
        snapshot = evidence.Evidence("n0", "1", routes, (), ())
        seen = set()
        for turn in range(64):
            data = evidence.encode_within(snapshot, turn)
            self.assertLessEqual(len(data), evidence.MAX_EVIDENCE_BYTES)
            seen |= {entry.route for entry in evidence.decode_evidence(data).routes}
        self.assertEqual(len(seen), 100)

    def test_slow_limit_is_above_the_ninth_decile(self):
        sketch = evidence.Sketch(now=0.0)
        for i in range(1000):
            sketch.add(0.010 + 0.00001 * i, 0.0)
        self.assertAlmostEqual(evidence.slow_limit_s(sketch.counts()), 1.3 * 0.019, delta=0.004)


class OldRateTest(unittest.TestCase):
    def test_successful_cold_calls_lower_the_failure_rate_of_the_old_version(self):
        rate = verdict.OldRate()
        rate.add(self.counts(99, 0.02, 1), 0.0)
        self.assertLess(rate.failing(0.0), 0.05)

    def test_only_calls_slower_than_a_cold_start_allows_are_slow(self):
        for latency_s, low, high in ((0.02, 0.0, 0.05), (0.05, 0.0, 0.05), (0.07, 0.95, 1.0)):
            with self.subTest(latency_s=latency_s):
                rate = verdict.OldRate()
                rate.add(self.counts(99, latency_s, 0), 0.0)
                self.assertTrue(low <= rate.slow_share(0.0) <= high, rate.slow_share(0.0))

    def counts(self, good, latency_s, failed):
        """Count calls of a leaf that a cold start may slow down 3 times; 0.02 s is typical."""
        counts = evidence.Counts()
        for ok in [True] * good + [False] * failed:
            counts = evidence.with_outcome(counts, evidence.Outcome(ok, latency_s, 3.0), 0.022)
        return counts


class ColdStartTest(unittest.TestCase):
    def test_cold_factor_falls_with_calls_and_time(self):
        def cold_factor(calls, seconds):
            return evidence.ColdStart(10.0, calls).cold_factor(20.0, 10.0 + seconds)

        self.assertEqual(cold_factor(0, 0.0), evidence.COLD_SLOWDOWN)
        self.assertAlmostEqual(cold_factor(evidence.COLD_CALLS, 0.0), 1.0 + 2.0 * 2 / 3)
        self.assertAlmostEqual(cold_factor(9 * evidence.COLD_CALLS, 19.9), 1.0 + 2.0 * 2 / 3)
        self.assertEqual(cold_factor(0, 20.0), evidence.COLD_SLOWDOWN)
        self.assertEqual(cold_factor(evidence.COLD_CALLS, 20.0), 1.0)
        self.assertAlmostEqual(cold_factor(evidence.COLD_CALLS // 3, 20.0), 1.0 + 2.0 * 2 / 3)

    def test_slow_call_within_the_cold_factor_counts_as_excused(self):
        counts = evidence.with_outcome(evidence.Counts(), evidence.Outcome(True, 0.05, 3.0), 0.022)
        self.assertEqual((counts.calls, counts.slow, counts.excused), (1, 0, 1))


class FinalTest(unittest.TestCase):
    def test_done_and_taken_back_exclude_each_other(self):
        table = moves.MoveTable(node="n0")
        moves.reduce(table, moves.FinalRecorded(MOVE, MoveState.DONE), 0.0, 0.0)
        moves.reduce(table, moves.FinalRecorded(MOVE, MoveState.DONE), 1.0, 1.0)
        with self.assertRaises(InvariantError):
            moves.reduce(table, moves.FinalRecorded(MOVE, MoveState.TAKEN_BACK), 2.0, 2.0)

    def test_request_long_after_the_latch_is_a_breach(self):
        table = moves.MoveTable(node="n0")
        moves.reduce(table, moves.ConfigApplied(build(DURATION_S)), 0.0, 0.0)
        table.latched_at[MOVE] = 10.0
        table.require_may_send(SERVICE, "v2", 11.0)
        table.require_may_send(SERVICE, "v1", 20.0)
        with self.assertRaises(InvariantError):
            table.require_may_send(SERVICE, "v2", 20.0)


def case_named(name):
    return next(case for case in CASES if case.name == name)


class FleetTest(unittest.TestCase):
    """All cases of `measure` with one seed each."""

    def test_good_versions_are_done_and_bad_versions_taken_back(self):
        for case in CASES:
            with self.subTest(case=case.name):
                result = Fleet(case=case, seed=SEED).run()
                state = MoveState.DONE if case.good else MoveState.TAKEN_BACK
                self.assertEqual(result.state, state)
                self.assertEqual(result.latched, not case.good)

    def test_moves_continue_while_the_store_is_unavailable(self):
        for case in (case_named("good"), case_named("fails all at once")):
            with self.subTest(case=case.name):
                fleet = Fleet(case=case._replace(store_out=True), seed=3)
                while fleet.now < START + DURATION_S + 2.0:
                    fleet.step()
                shares = {
                    round(table.share(SERVICE, fleet.now).get("v2", 0.0), 2)
                    for table in fleet.tables.values()
                }
                self.assertEqual(shares, {0.95 if case.good else 0.0})
                self.assertEqual(fleet.store, {})
