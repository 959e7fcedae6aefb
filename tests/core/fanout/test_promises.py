"""Each invariant on sending and answering raises InvariantError when its guard is disabled."""

from __future__ import annotations

import unittest

from cactussaddle_core.edge import events as ev
from cactussaddle_core.exceptions import InvariantError
from cactussaddle_core.fanout.finish import answer
from cactussaddle_core.fanout.model import LeafReply
from cactussaddle_core.fanout.promises import require_not_run
from cactussaddle_core.routing.model import ServiceSpec
from cactussaddle_core.routing.table import RoutingTable
from tests.core.edge.leafbehavior import unresponsive
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World
from tests.core.edge.world import entry
from tests.core.edge.world import leaf_name


class PromisesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World()
        self.fanout = self.world.state.fanout

    def disable_guard(self) -> None:
        self.fanout.may_call = lambda leaf, now: True

    def assert_violated(self, promise: str) -> None:
        with self.assertRaisesRegex(InvariantError, promise):
            for _ in range(20):
                self.world.ask()
                self.world.run(0.01)

    def test_no_call_to_a_domain_out_of_service(self) -> None:
        self.world.feed(ev.DomainMarked(DOMAINS[0], True))
        self.world.ask()
        self.disable_guard()
        self.assert_violated("domain-out")

    def test_no_call_to_a_draining_leaf(self) -> None:
        leaving = entry("s0", DOMAINS[0], draining=True, sequence=2)
        self.world.feed(ev.LeafChanged(leaving))
        self.world.ask()
        self.disable_guard()
        self.assert_violated("leaf-leaving")

    def test_a_cold_leaf_gets_no_more_calls_than_its_limit(self) -> None:
        specs = [ServiceSpec(f"s{number}", "/h", 46, 3.0, 2.0) for number in range(10)]
        table = RoutingTable(version=2, routes=self.world.routes, services=specs)
        self.world.feed(ev.TableSeen(table))
        cold = entry("s0", DOMAINS[0], born_ms=2, cold_left_s=3.0)
        self.world.feed(ev.LeafChanged(cold))
        for _ in range(20):
            self.world.ask()
            self.world.run(0.01)
        self.disable_guard()
        self.assert_violated("cold-limit")

    def test_a_leaf_gets_no_more_calls_than_its_own_limit(self) -> None:
        leaf = self.world.leaf("s0", DOMAINS[0])
        self.world.state.fleet.limit_named(leaf, 2.0, self.world.now)
        for _ in range(20):
            self.world.ask()
            self.world.run(0.01)
        self.world.state.fleet.limit_named(leaf, 2.0, self.world.now)
        self.disable_guard()
        self.assert_violated("named-limit")

    def test_an_answer_uses_the_shards_of_one_snapshot(self) -> None:
        req_id = self.world.ask()
        query = self.fanout.queries[req_id]
        query.parts[0].service = "another"
        with self.assertRaisesRegex(InvariantError, "one-snapshot"):
            answer(self.fanout, query, self.world.now)

    def test_no_reply_is_counted_twice(self) -> None:
        req_id = self.world.ask()
        query = self.fanout.queries[req_id]
        for part in query.parts[:2]:
            part.reply = LeafReply(200, (), b"", "the same")
        with self.assertRaisesRegex(InvariantError, "true-coverage"):
            answer(self.fanout, query, self.world.now)

    def test_a_request_that_was_sent_is_not_reported_as_not_run(self) -> None:
        for domain in DOMAINS:
            self.world.behaviors[leaf_name("s0", domain)] = unresponsive
        req_id = self.world.ask()
        self.world.run(0.001)
        with self.assertRaisesRegex(InvariantError, "not-run"):
            require_not_run(self.fanout.queries[req_id])

    def test_a_stop_that_drops_requests_is_detected(self) -> None:
        for domain in DOMAINS:
            self.world.behaviors[leaf_name("orders", domain)] = unresponsive
        self.world.ask(b"/o/x", timeout_s=6.0)
        self.world.feed(ev.StopAsked(4.0))
        self.world.run(1.0)
        self.world.state.stopping.must_give_up = lambda now: False  # type: ignore[method-assign]
        with self.assertRaisesRegex(InvariantError, "graceful-stop"):
            self.world.run(5.0)


if __name__ == "__main__":
    unittest.main()
