from __future__ import annotations

import math
import unittest

from cactussaddle_core.limits.leaflimit import AVERAGING_S
from cactussaddle_core.limits.leaflimit import REPORT_INTERVAL_S
from cactussaddle_core.limits.leaflimit import REPORT_VALID_S
from cactussaddle_core.limits.leaflimit import Audience
from cactussaddle_core.limits.leaflimit import Quota
from cactussaddle_core.limits.leaflimit import RequestRate
from cactussaddle_core.limits.leaflimit import Traffic
from cactussaddle_core.limits.leaflimit import TrafficReport
from cactussaddle_core.limits.leaflimit import share

REGIONS = {"n0": "east", "n1": "east", "n2": "west", "n3": "west"}


def audience(leaf_region: str = "east", nodes: int = 4) -> Audience:
    return Audience(REGIONS, nodes, leaf_region, {"east", "west"})


class ShareTest(unittest.TestCase):
    def test_the_shares_of_all_nodes_add_up_to_the_limit(self):
        rates = {"n0": 9.0, "n1": 1.0, "n2": 5.0, "n3": 0.0}
        for region in ("east", "west", "north"):
            total = sum(share(node, rates, audience(region)) for node in REGIONS)
            self.assertAlmostEqual(total, 1.0)

    def test_a_share_follows_the_traffic(self):
        rates = {"n0": 9.0, "n1": 1.0, "n2": 5.0, "n3": 5.0}
        self.assertAlmostEqual(share("n0", rates, audience()), 9.0 * share("n1", rates, audience()))

    def test_nodes_near_the_leaf_come_first(self):
        rates = dict.fromkeys(REGIONS, 5.0)
        self.assertGreater(share("n0", rates, audience()), 3.0 * share("n2", rates, audience()))

    def test_a_region_without_leaves_of_the_service_is_not_put_behind(self):
        rates = dict.fromkeys(REGIONS, 5.0)
        lone = Audience(REGIONS, 4, "east", {"east"})
        self.assertEqual(share("n0", rates, lone), share("n2", rates, lone))

    def test_nodes_that_are_not_heard_count_as_average(self):
        self.assertAlmostEqual(share("n0", {"n0": 7.0}, Audience(REGIONS, 4, "x", ())), 0.25)
        self.assertAlmostEqual(share("n0", {"n0": 7.0}, Audience({}, 10, "x", ())), 0.1)

    def test_a_node_that_is_not_registered_keeps_a_share(self):
        self.assertGreater(share("n9", {"n9": 5.0}, audience()), 0.0)


class QuotaTest(unittest.TestCase):
    def test_calls_stay_within_the_rate(self):
        quota = Quota(tokens=0.0, now=0.0)
        quota.set_rate(2.5, 0.0)
        sent = 0
        for step in range(1000):
            if quota.allows(step * 0.02):
                quota.take()
                sent += 1
            self.assertTrue(quota.is_kept)
        self.assertAlmostEqual(sent, 50, delta=1)

    def test_unused_quota_does_not_pile_up(self):
        quota = Quota(tokens=0.0, now=0.0)
        quota.set_rate(3.0, 0.0)
        sent = 0
        while quota.allows(100.0):
            quota.take()
            sent += 1
        self.assertEqual(sent, 3)

    def test_a_call_that_did_not_arrive_is_refunded(self):
        quota = Quota(tokens=1.0, now=0.0)
        quota.take()
        self.assertFalse(quota.allows(0.0))
        quota.refund()
        self.assertTrue(quota.allows(0.0))


class TrafficTest(unittest.TestCase):
    def test_the_rate_is_an_average(self):
        rate = RequestRate()
        self.assertEqual(rate.per_s(0.0), 0.0)
        for step in range(400):
            rate.count(step * 0.1)
        self.assertAlmostEqual(rate.per_s(40.0), 10.0, delta=1.0)
        self.assertLess(rate.per_s(40.0 + 5.0 * AVERAGING_S), 0.1)

    def test_reports_are_sent_while_a_node_needs_them(self):
        traffic = Traffic(node="n0")
        self.assertIsNone(traffic.due_report(False, 1.0))
        traffic.heard(TrafficReport("n1", 5.0, True), 1.0)
        self.assertIsNotNone(traffic.due_report(False, 1.0))
        self.assertIsNone(traffic.due_report(False, 1.1))
        self.assertIsNotNone(traffic.due_report(False, 1.0 + REPORT_INTERVAL_S))
        self.assertIsNone(traffic.due_report(False, 2.0 + REPORT_VALID_S))

    def test_a_report_that_asks_for_nothing_is_not_answered(self):
        traffic = Traffic(node="n0")
        traffic.heard(TrafficReport("n1", 5.0, False), 1.0)
        self.assertIsNone(traffic.due_report(False, 1.0))

    def test_old_and_malformed_reports_do_not_count(self):
        traffic = Traffic(node="n0")
        for rate in (math.nan, math.inf, -1.0):
            traffic.heard(TrafficReport("bad", rate, True), 1.0)
        traffic.heard(TrafficReport("n1", 5.0, True), 1.0)
        self.assertEqual(set(traffic.rates(2.0)), {"n0", "n1"})
        self.assertEqual(set(traffic.rates(2.0 + REPORT_VALID_S)), {"n0"})


if __name__ == "__main__":
    unittest.main()
