from __future__ import annotations

import unittest

from cactussaddle_core.fanout.timing import RouteTimings
from cactussaddle_core.fleet.leaf import Leaf
from cactussaddle_core.fleet.probeplan import ProbePlan
from tests.core.edge.world import entry
from tests.core.edge.world import gather_route

ROUTE = gather_route()


def leaf(domain: str = "north") -> Leaf:
    return Leaf(entry=entry("s0", domain), probes=ProbePlan(), now=0.0)


class RouteTimingsTest(unittest.TestCase):
    def setUp(self):
        self.timings = RouteTimings(own_domain="north")

    def test_the_round_trip_is_not_counted_as_work_time(self):
        far = leaf("south")
        self.timings.connected(far, 0.04)
        for _ in range(20):
            self.timings.record_latency(ROUTE, far, 0.08, 1.0)
        self.assertAlmostEqual(self.timings.median_s(ROUTE), 0.04, delta=0.004)

    def test_a_call_is_overdue_relative_to_the_speed_of_its_leaf(self):
        quick, slower = leaf(), leaf()
        for step in range(200):
            self.timings.record_latency(ROUTE, quick, 0.03 + 0.0001 * (step % 50), 1.0)
        for _ in range(40):
            quick.record_slowness(0.8, 1.0)
            slower.record_slowness(1.4, 1.0)
        early = self.timings.overdue_s(ROUTE, quick, 1.0)
        late = self.timings.overdue_s(ROUTE, slower, 1.0)
        self.assertGreater(late, 1.4 * early)

    def test_many_slow_leaves_do_not_delay_the_overdue_time_of_a_healthy_leaf(self):
        for step in range(400):
            slow = step % 5 == 0
            self.timings.record_latency(
                ROUTE, leaf(), 0.3 if slow else 0.03 + 0.0001 * (step % 50), 1.0
            )
        # With log-normal work times (sigma 0.35), one call in forty takes twice the median.
        overdue_s = self.timings.overdue_s(ROUTE, leaf(), 1.0)
        self.assertLess(overdue_s, 2.1 * self.timings.median_s(ROUTE) + 0.001)

    def test_without_samples_calls_are_overdue_before_the_objective(self):
        self.assertLess(self.timings.overdue_s(ROUTE, leaf(), 1.0), ROUTE.objective_s)
