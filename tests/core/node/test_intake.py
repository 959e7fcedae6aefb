from __future__ import annotations

import types
import unittest

from typing import Any

from cactussaddle_core.admission import Admission
from cactussaddle_core.admission import Limits
from cactussaddle_core.admission import Request
from cactussaddle_core.node import intake
from cactussaddle_core.node.intake import Cap
from tests.core.query.fleet import make_request


class CapTest(unittest.TestCase):
    def test_calls_sent_together_that_meet_full_queues_cause_one_decrease(self):
        cap = Cap()
        cap.set_share(5.0)
        cap.value = 20.0
        for _ in range(10):
            cap.refused(sent_at=1.0, now=1.1)
        self.assertEqual(cap.value, 16.0)
        cap.refused(sent_at=1.2, now=1.3)
        self.assertEqual(cap.value, 12.8)

    def test_limit_grows_by_one_per_query_until_the_first_decrease(self):
        cap = Cap()
        cap.set_share(5.0)
        for _ in range(5):
            cap.ran()
        self.assertEqual(cap.value, 10.0)
        cap.refused(sent_at=1.0, now=1.1)
        cap.ran()
        self.assertEqual(cap.value, 8.125)


class WaitTest(unittest.TestCase):
    def setUp(self):
        admission = Admission(limits=Limits(running=1, queued=8))
        admission.offer(Request("running", 0, 10.0), 0.0)
        self.state: Any = types.SimpleNamespace(
            open_queries={}, admissions={"s1": admission}, caps={}
        )

    def test_a_queued_query_waits_during_a_stall_until_near_its_deadline(self):
        self.assertEqual(intake.offer(self.state, make_request(deadline_s=1.0), 0.0), [])
        self.assertEqual(intake.tick(self.state, 0.9), [])
        (answer,) = intake.tick(self.state, 0.96)
        self.assertEqual(answer.status, 503)

    def test_queries_are_refused_on_arrival(self):
        effects = [intake.offer(self.state, make_request(n), 0.0) for n in range(1, 9)]
        self.assertEqual([len(made) for made in effects], [0] * 5 + [1] * 3)
