"""A stop of a node ends in time, and cuts nothing, whatever callers do."""

from __future__ import annotations

import unittest

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.node.effects import Answer
from cactussaddle_core.node.events import CallerRequest
from tests.core.node.fleet import DEADLINES_MS
from tests.core.node.fleet import MAX_STOP_S
from tests.core.node.fleet import Fleet

TARGET = "n0"


class StubbornFleet(Fleet):
    """A fleet whose callers all go to one node, also while it stops."""

    def __init__(self, *, target: str) -> None:
        self.target = target
        self.last_answers: dict[int, Answer] = {}
        super().__init__(nodes=4, seed=36, loss=0.0)

    def call(self) -> None:
        if self.target in self.ended or not self.ready(self.target):
            return
        self.next_req += 1
        deadline_ms = self.rng.choice(DEADLINES_MS)
        self.waiting[self.next_req] = self.target
        self.feed(self.target, CallerRequest(self.next_req, "r", b"{}", 10, deadline_ms, 0.1, ""))

    def carry_out(self, name, effect) -> None:
        if isinstance(effect, Answer):
            self.last_answers[effect.req_id] = effect
        super().carry_out(name, effect)


class StopUnderLoadTest(unittest.TestCase):
    def test_a_stop_cuts_requests_at_its_end_as_callers_keep_coming(self) -> None:
        fleet = StubbornFleet(target=TARGET)
        fleet.slow_s = 0.4
        fleet.run(1.0)
        fleet.stop(fleet.target)
        incarnation = fleet.nodes[fleet.target].me.incarnation
        fleet.run(MAX_STOP_S + 0.5)
        self.assertNotEqual(fleet.nodes[fleet.target].me.incarnation, incarnation)
        names = {answer.doc["name"] for answer in fleet.last_answers.values()}
        self.assertIn(ResultCode.STOPPING.name, names)


if __name__ == "__main__":
    unittest.main()
