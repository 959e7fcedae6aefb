"""Priority classes at the root under overload: two routes share a service, on one node state."""

from __future__ import annotations

import unittest

from typing import Any

import msgspec

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import SnapshotInfo
from cactussaddle_core.codes import ResultCode
from cactussaddle_core.node.effects import Answer
from cactussaddle_core.node.effects import RunCall
from cactussaddle_core.node.events import CallEnded
from cactussaddle_core.node.events import CallerRequest
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.node.events import HealthSeen
from cactussaddle_core.node.holding import verdicts
from cactussaddle_core.node.reduce import reduce
from tests.core.node.test_documents import placements
from tests.core.node.world import WALL
from tests.core.node.world import World
from tests.core.node.world import config
from tests.core.query.fleet import ok

LOW_REQUESTS = 100


class RootPriorityTest(unittest.TestCase):
    def setUp(self):
        self.world = World(nodes=1, seed=1, loss=0.0)
        doc = msgspec.json.decode(config(1))
        doc["routes"].append({**doc["routes"][0], "name": "low", "priority": 2})
        self.feed(DocSeen("config", msgspec.json.encode(doc), "store"))
        self.feed(DocSeen("placement", msgspec.json.encode(placements(1)[0]), "store"))
        for number in range(3):
            infos = (SnapshotInfo(1, 1, (0,)),)
            self.feed(HealthSeen(f"s1-{number}", True, "1", infos))
        self.world.run(1.0)

    def feed(self, event: Any) -> list[Any]:
        return reduce(self.world.nodes["n0"], event, self.world.now, WALL + self.world.now)

    def ask(self, req_id: int, route: str) -> list[Any]:
        body = f"{route}{req_id}".encode()
        return self.feed(CallerRequest(req_id, route, body, 10, 1000.0, None, ""))

    def test_queries_waiting_for_their_single_first_call_count_fully_against_the_limit(self):
        state = self.world.nodes["n0"]
        state.queries.verdict = verdicts(state, staged=True)
        cap = round(state.caps["s1"].value)
        for number in range(LOW_REQUESTS):
            self.ask(number + 1, "low")
        self.assertTrue(all(query.alone for query in state.queries.queries.values()))
        self.assertEqual(len(state.queries.queries), cap)
        self.assertEqual(state.admissions["s1"].limits.running, cap)

    def test_a_high_priority_request_runs_next_when_low_ones_fill_the_node(self):
        effects = [
            effect for number in range(LOW_REQUESTS) for effect in self.ask(number + 1, "low")
        ]
        running = [effect for effect in effects if isinstance(effect, RunCall)]
        refused = [effect for effect in effects if isinstance(effect, Answer)]
        self.assertTrue(running and refused)
        for answer in refused:
            self.assertEqual(answer.doc["code"], int(ResultCode.OVERLOADED))
            self.assertGreater(answer.retry_after_s, 0.0)
        high = self.ask(LOW_REQUESTS + 1, "r")
        answers = [effect for effect in high if isinstance(effect, Answer)]
        self.assertNotIn(LOW_REQUESTS + 1, [answer.req_id for answer in answers])
        state = self.world.nodes["n0"]
        admitted = {query.request.body for query in state.queries.queries.values()}
        waiting = len(state.open_queries) - len(admitted)
        self.assertGreater(waiting, 1)
        started: list[bytes] = []
        while f"r{LOW_REQUESTS + 1}".encode() not in started:
            self.world.now += 0.001
            call = running.pop(0).call
            body = ok(call, snapshot=1, of=1).body
            ended = CallEnded("n0", call.call_id, CallOutcome.OK, body, 0.001, "1", 0.0, ())
            new = [effect for effect in self.feed(ended) if isinstance(effect, RunCall)]
            running += new
            started += [effect.call.body for effect in new]
        self.assertLessEqual(set(started), admitted | {f"r{LOW_REQUESTS + 1}".encode()})
