"""What callers are told of requests that leaves may have run, from the leaf's bytes to the caller's."""

from __future__ import annotations

import itertools
import unittest

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_common.http.message import OutgoingResponse
from cactussaddle_common.http.message import Response
from cactussaddle_core.edge import events as ev
from cactussaddle_core.fanout import effects as fanfx
from cactussaddle_platform import callers
from cactussaddle_platform import leaves
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import HOME
from tests.core.edge.world import World
from tests.core.edge.world import leaf_name

if TYPE_CHECKING:
    from tests.core.edge.leafbehavior import CallOutcome

NOT_RUN_STATUSES = (408, 421, 429, 503)
SIGNED = ((b"server-stamp", b"sig"),)
DECLARED = ((b"not-executed", b"1"),)
TARGETS = {"once": b"/u/1", "single": b"/o/1", "gather": b"/s/x"}


def has_run(response: Response) -> bool:
    """Return whether a response is that of a leaf which may have run the request."""
    if response.header(b"not-executed") is not None:
        return False
    return response.status != 421 or response.header(b"server-stamp") is not None


class WireWorld(World):
    """A node whose leaves answer with the responses in `answers`, and whose answers are encoded."""

    def __init__(self) -> None:
        self.answers: dict[str, Response] = {}
        self.ran: list[str] = []
        self.told: dict[int, OutgoingResponse] = {}
        super().__init__()

    def answer_call(self, call: Any, does: CallOutcome, trip_s: float) -> None:
        response = self.answers.get(call.leaf.name)
        if response is None:
            super().answer_call(call, does, trip_s)
            return
        if has_run(response):
            self.ran.append(call.leaf.name)
        self.later(trip_s + 0.002, ev.CallEnded(leaves.decode_call_end(call.call_id, response)))

    def _carry_out(self, effect: Any) -> None:
        if isinstance(effect, fanfx.Relayed):
            self.told[effect.query.request.req_id] = callers.encode_relayed(effect)
        elif isinstance(effect, fanfx.Declined):
            self.told[effect.req_id] = callers.encode_declined(effect)
        super()._carry_out(effect)

    def told_of(self, target: bytes) -> OutgoingResponse:
        """Return what the caller of one request is told."""
        req_id = self.ask(target)
        self.run(3.0)
        return self.told[req_id]


class NotRunTest(unittest.TestCase):
    """No status that denies the run of a request which a leaf has run (review/8, REFUSED)."""

    def setUp(self) -> None:
        self.world = WireWorld()

    def all_answer(self, response: Response) -> None:
        for service in ("orders", *(f"s{number}" for number in range(10))):
            for domain in DOMAINS:
                self.world.answers[leaf_name(service, domain)] = response

    def test_a_leafs_own_failure_never_denies_its_run(self) -> None:
        for status, headers, kind in itertools.product(
            NOT_RUN_STATUSES, ((), SIGNED, DECLARED, SIGNED + DECLARED), TARGETS
        ):
            with self.subTest(status=status, headers=headers, kind=kind):
                self.setUp()
                response = Response(status, headers, b"why")
                self.all_answer(response)
                told = self.world.told_of(TARGETS[kind])
                self.assertEqual(told.status, 502 if has_run(response) else 503)
                self.assertEqual(bool(self.world.ran), has_run(response))
                self.assertNotIn(b"server-stamp", dict(told.headers))

    def test_a_refusal_after_a_run_does_not_deny_it(self) -> None:
        self.all_answer(Response(503, DECLARED, b""))
        self.world.answers[leaf_name("orders", HOME)] = Response(503, SIGNED, b"late")
        self.assertEqual(self.world.told_of(TARGETS["single"]).status, 502)
        self.assertEqual(self.world.ran, [leaf_name("orders", HOME)])

    def test_a_run_after_a_refusal_is_not_denied(self) -> None:
        self.all_answer(Response(429, SIGNED, b"late"))
        self.world.answers[leaf_name("orders", HOME)] = Response(503, DECLARED, b"")
        self.assertEqual(self.world.told_of(TARGETS["once"]).status, 502)
        self.assertEqual(len(self.world.ran), 1)

    def test_a_failure_that_denies_nothing_is_relayed_also_before_one_that_does(self) -> None:
        self.all_answer(Response(503, SIGNED, b"late"))
        self.world.answers[leaf_name("orders", HOME)] = Response(500, SIGNED, b"broken")
        told = self.world.told_of(TARGETS["single"])
        self.assertEqual((told.status, told.body, told.headers), (500, b"broken", SIGNED))


if __name__ == "__main__":
    unittest.main()
