from __future__ import annotations

import tracemalloc
import unittest

from typing import TYPE_CHECKING

import trio

from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge.effects import ConnectionLimits
from cactussaddle_core.fanout.effects import EndCall
from cactussaddle_core.fanout.model import CallEnd
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fanout.model import CallerRequest
from cactussaddle_core.fanout.state import Call
from cactussaddle_core.fanout.state import Choice
from cactussaddle_core.fanout.state import Query
from cactussaddle_core.fleet.leaf import Leaf
from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.fleet.model import Load
from cactussaddle_core.fleet.pace import Aging
from cactussaddle_core.fleet.probeplan import ProbePlan
from cactussaddle_core.fleet.probing import ProbeOutcome
from cactussaddle_core.fleet.probing import ProbeResult
from cactussaddle_node.edge.guard import TaskGuard
from cactussaddle_node.edge.leafcaller import LeafCaller
from cactussaddle_platform import leaves
from tests.core.edge.world import entry
from tests.core.edge.world import gather_route
from tests.node.edge.connections import wait_for
from tests.node.edge.servers import read_request
from tests.node.edge.servers import reply
from tests.node.edge.servers import served

if TYPE_CHECKING:
    from cactussaddle_node.edge.wire import LeafWire

CONNECTIONS = 4
WARM = 2
SETTLE_S = 0.05
DEADLINE_S = 1.0
LARGE_BODY_BYTES = 20_000_000
MAX_BUFFERED_BYTES = 32 * 1024 * 1024

SIGNED_REST = b" X\r\nServer-Stamp: s\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nhi"


class Wire:
    """Encodes a call as its target; a target that begins with /hang is never answered."""

    def encode_call(self, request, leaf, deadline_s):
        head = b"GET %s HTTP/1.1\r\nHost: h\r\nDeadline-Ms: %d\r\n\r\n"
        return head % (request.target, deadline_s * 1000.0)

    def is_answer_to(self, request, response):
        return None

    def decode_call_end(self, call_id, response):
        return CallEnd(call_id, CallEnding.ANSWERED, response.body.decode())

    def encode_probe(self, leaf, health_path, *, kept=False):
        return b"GET /health HTTP/1.1\r\nHost: h\r\n\r\n"

    def is_health_answer(self, response):
        return response.header(b"leaf") is not None

    def decode_health(self, response, work_s):
        leaf = (response.header(b"leaf") or b"").decode()
        return ProbeResult(ProbeOutcome.ANSWERED, leaf, True, None, work_s)


class LeafCallerTest(unittest.TestCase):
    def setUp(self):
        self.connected = 0
        self.call_id = 0
        self.requests: list[bytes] = []
        self.answer_after_s = 0.0
        self.ends: list[CallEnd] = []
        self.leaf_reads_nothing = False
        self.wire: LeafWire = Wire()

    async def answer_all_but_hanging(self, stream) -> None:
        if self.leaf_reads_nothing:
            await trio.sleep_forever()
        while data := await read_request(stream):
            self.requests.append(data)
            if b"/hang" in data:
                await trio.sleep_forever()
            if b"/status/" in data:
                status = data.split(b"/status/")[1][:3]
                await stream.send_all(b"HTTP/1.1 " + status + SIGNED_REST)
                continue
            await stream.send_all(reply())

    def feed(self, event) -> None:
        if isinstance(event, ev.Connected):
            self.connected += 1
        elif isinstance(event, ev.CallLeft):
            self.calls[event.call_id].left_at = trio.current_time()
        elif isinstance(event, ev.CallEnded):
            self.ends.append(event.end)

    def run_caller(self, body) -> None:
        async def main() -> None:
            self.calls: dict[int, Call] = {}
            served_here = served(self.answer_all_but_hanging)
            async with served_here as address, trio.open_nursery() as nursery:
                leaf = Leaf(
                    entry=entry("s0", "north", host=address.host, port=address.port),
                    probes=ProbePlan(),
                    now=0.0,
                )
                caller = LeafCaller(
                    nursery=nursery,
                    wire=self.wire,
                    local_host="",
                    feed=self.feed,
                    guard=TaskGuard(report=lambda task, error, place: None),
                    max_buffered_bytes=MAX_BUFFERED_BYTES,
                )
                caller.update_pools((ConnectionLimits(leaf, CONNECTIONS, WARM, 30.0),))
                await trio.sleep(SETTLE_S)
                await body(caller, leaf)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def send(
        self, caller: LeafCaller, leaf: Leaf, target: bytes, request_body: bytes = b""
    ) -> Call:
        request = CallerRequest(1, "r1", b"GET", target, "h", (), request_body, 1.0, "f")
        query = Query(
            request=request,
            route=gather_route(),
            table_version=1,
            now=0.0,
            answer_by=1.0,
            deadline=2.0,
        )
        query.ask_services(["s0"])
        self.call_id += 1
        call = Call(
            call_id=self.call_id,
            part=query.parts[0],
            choice=Choice(leaf, 0.0, 1, 0.0),
            reason="first",
            extra=False,
            now=0.0,
        )
        self.calls[call.call_id] = call
        caller.send(call, trio.current_time() + DEADLINE_S)
        return call

    def connections_after(self, linger_s: float, *, is_suspect: bool = False) -> int:
        """Return the connections opened once a call has ended unanswered and another been sent."""

        async def body(caller, leaf):
            hanging = self.send(caller, leaf, b"/hang")
            await trio.sleep(SETTLE_S)
            caller.end(EndCall(hanging, linger_s, is_suspect))
            await trio.sleep(linger_s + SETTLE_S)
            caller.sweep(trio.current_time())
            await trio.sleep(SETTLE_S)
            self.send(caller, leaf, b"/next")
            await trio.sleep(SETTLE_S)

        self.run_caller(body)
        return self.connected

    def test_a_call_cancelled_at_once_costs_its_own_connection_only(self):
        self.assertEqual(self.connections_after(0.0), 2)

    def test_idle_connections_are_closed_with_a_call_whose_connection_may_be_silent(self):
        """Guards against calls sent on silent connections one after the other."""
        self.assertEqual(self.connections_after(0.0, is_suspect=True), 3)

    def test_idle_connections_are_closed_after_a_call_that_lingered_without_an_answer(self):
        """The connection may have gone silent, and with it all others of the same way."""
        self.assertEqual(self.connections_after(0.1), 3)

    def test_bodies_reach_the_leaf_whole(self):
        """A body ends with what ends a request in this test."""
        self.wire = leaves
        sizes = (3, 70_000, 1_000_000)

        async def body(caller, leaf):
            for number, size in enumerate(sizes):
                request_body = b"%d" % number * size + b"\r\n\r\n"
                self.send(caller, leaf, b"/whole/%d" % number, request_body)
                await wait_for(lambda number=number: len(self.ends) > number)

        self.run_caller(body)
        whole = [request.partition(b"\r\n\r\n") for request in self.requests]
        self.assertEqual(
            [request_body for _, _, request_body in whole],
            [b"%d" % number * size + b"\r\n\r\n" for number, size in enumerate(sizes)],
        )
        for (head, _, _), size in zip(whole, sizes, strict=True):
            self.assertIn(b"\r\nContent-Length: %d" % (size + 4), head)

    def test_calls_that_leaves_do_not_read_share_one_body(self):
        """A query of many parts must not hold its caller's body once for each of them."""
        self.leaf_reads_nothing = True
        request_body = b"b" * LARGE_BODY_BYTES

        async def body(caller, leaf):
            tracemalloc.start()
            try:
                for _ in range(CONNECTIONS):
                    self.send(caller, leaf, b"/unread", request_body)
                    await trio.sleep(SETTLE_S)
                self.held_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()

        self.wire = leaves
        self.run_caller(body)
        self.assertLess(self.held_bytes, LARGE_BODY_BYTES)

    def test_a_status_outside_100_to_599_breaks_its_call(self):
        """Such a response is no answer: the request may have run, and its connection is closed."""
        self.wire = leaves
        statuses = (b"000", b"099", b"600", b"999")

        async def body(caller, leaf):
            for status in statuses:
                self.send(caller, leaf, b"/status/" + status)
                await trio.sleep(SETTLE_S)
            # Each of them has ended the connection on which it came.
            self.assertEqual(self.connected, len(statuses))
            self.send(caller, leaf, b"/status/599")
            self.send(caller, leaf, b"/status/200")
            await trio.sleep(SETTLE_S)

        self.run_caller(body)
        endings = [end.ending for end in self.ends]
        broken = [CallEnding.BROKEN] * len(statuses)
        self.assertEqual(endings[: len(statuses)], broken)
        self.assertEqual([end.reply for end in self.ends[: len(statuses)]], [None] * len(statuses))
        self.assertCountEqual(endings[len(statuses) :], [CallEnding.FAILED, CallEnding.ANSWERED])

    def test_call_that_waited_for_a_connection_tells_the_time_left_when_it_is_sent(self):
        """Guards against a leaf that works on a request for longer than its caller waits."""
        queued_s = 0.4

        async def body(caller, leaf):
            hanging = [self.send(caller, leaf, b"/hang") for _ in range(CONNECTIONS)]
            self.send(caller, leaf, b"/queued")
            await trio.sleep(queued_s)
            caller.end(EndCall(hanging[0], 0.0, False))
            await trio.sleep(SETTLE_S)

        self.run_caller(body)
        (left_ms,) = [
            int(request.partition(b"Deadline-Ms: ")[2])
            for request in self.requests
            if b"/queued" in request
        ]
        self.assertLessEqual(left_ms, (DEADLINE_S - queued_s) * 1000.0)
        self.assertGreater(left_ms, (DEADLINE_S - queued_s) * 500.0)

    async def probe_server(self, stream) -> None:
        """Answer probes; drop or spoil as many connections at their next probe as are planned."""
        self.accepted += 1
        while data := await read_request(stream):
            self.requests.append(data)
            plan = self.plans.pop(0) if self.plans else ""
            if plan == "drop":
                return
            if plan == "hang" or b"/hang" in data:
                await trio.sleep_forever()
            await trio.sleep(self.answer_after_s)
            late = reply(b"late answer to a call") if plan == "late" else b""
            health = reply(headers=b"Leaf: i-1\r\n")
            answer = health if b"/health" in data else reply(b"of the call")
            await stream.send_all(late + answer)
            if plan == "twice":
                # The second copy comes once the connection carries a call.
                self.requests.append(await read_request(stream))
                await stream.send_all(health)
                await trio.sleep(SETTLE_S / 2.0)
                await stream.send_all(reply(b"of the call"))

    def probes(
        self,
        count: int,
        *,
        plans=(),
        warm: int = 1,
        paced: bool = True,
        suspected: bool = True,
        busy: int = 0,
        call_after: bool = False,
    ) -> list:
        """Probe a leaf some times, one after the other; return the results."""
        self.accepted = 0
        self.plans = list(plans)
        ended: list = []
        self.calls = {}

        def feed(event) -> None:
            self.feed(event)
            if isinstance(event, ev.ProbeEnded):
                ended.append(event.health)

        async def main() -> None:
            async with served(self.probe_server) as address, trio.open_nursery() as nursery:
                leaf = Leaf(
                    entry=entry("s0", "north", host=address.host, port=address.port),
                    probes=ProbePlan(),
                    now=0.0,
                )
                leaf.report_load(Load(0, 0, 4, 1.0 if paced else None), Aging(), 0.0)
                if suspected:
                    leaf.availability = Availability.SUSPECT
                caller = LeafCaller(
                    nursery=nursery,
                    wire=Wire(),
                    local_host="",
                    feed=feed,
                    guard=TaskGuard(report=lambda task, error, place: None),
                    max_buffered_bytes=MAX_BUFFERED_BYTES,
                )
                caller.update_pools((ConnectionLimits(leaf, CONNECTIONS, warm, 30.0),))
                await trio.sleep(SETTLE_S)
                for _ in range(busy):
                    self.send(caller, leaf, b"/hang")
                for number in range(count):
                    caller.probe(leaf, "/health")
                    with trio.fail_after(2.0):
                        while len(ended) <= number:
                            await trio.sleep(0.002)
                if call_after:
                    self.send(caller, leaf, b"/call")
                    await trio.sleep(SETTLE_S)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return ended

    def test_probes_of_a_suspected_leaf_that_reports_its_pace_use_a_kept_connection(self):
        ended = self.probes(5)
        self.assertEqual({health.leaf for health in ended}, {"i-1"})
        self.assertEqual(self.accepted, 1)

    def test_a_probe_without_an_idle_connection_opens_one_that_later_probes_use(self):
        self.probes(5, warm=0)
        self.assertEqual(self.accepted, 1)

    def test_other_probes_are_timed_on_new_connections(self):
        """A leaf's slowness shows most in the setup of a connection, which a kept one doesn't need."""
        self.answer_after_s = 0.05
        for paced, suspected in ((False, False), (False, True), (True, False)):
            for warm in (0, 1):
                for health in self.probes(3, paced=paced, suspected=suspected, warm=warm):
                    self.assertTrue(health.timed)
                    self.assertGreater(health.work_s, 0.045)
                    self.assertLess(health.work_s, 0.1)
                self.assertEqual(self.accepted, warm + 3)

    def test_a_probe_on_a_kept_connection_tells_no_time(self):
        (health,) = self.probes(1)
        self.assertFalse(health.timed)

    def test_the_connection_of_a_probe_is_kept_for_calls(self):
        for paced in (False, True):
            self.probes(1, paced=paced, warm=0, call_after=True)
            self.assertEqual(self.accepted, 1)

    def test_a_probe_has_a_connection_of_its_own_while_all_others_are_busy(self):
        self.probes(1, warm=CONNECTIONS, busy=CONNECTIONS)
        self.assertEqual(self.accepted, CONNECTIONS + 1)

    def test_a_probe_on_a_dropped_connection_is_sent_on_a_new_one(self):
        (health,) = self.probes(1, plans=["drop"])
        self.assertEqual((health.end, health.leaf), (ProbeOutcome.ANSWERED, "i-1"))
        self.assertEqual(self.accepted, 2)

    def test_a_probe_on_a_silent_connection_is_sent_on_a_new_one(self):
        (health,) = self.probes(1, plans=["hang"])
        self.assertEqual((health.end, health.leaf), (ProbeOutcome.ANSWERED, "i-1"))

    def test_a_call_after_a_probe_on_its_connection_gets_an_answer_without_an_id(self):
        """Guards against dropping the answers of leaves that don't echo the id of a request."""
        for warm in (0, 1):
            self.ends = []
            self.probes(1, warm=warm, call_after=True)
            self.assertEqual([end.ending for end in self.ends], [CallEnding.ANSWERED])
            self.assertEqual(self.accepted, 1)

    def test_the_second_copy_of_a_probes_answer_is_not_taken_for_that_of_a_call(self):
        """A copy without an id came on the connection that the probe had left for calls (review/7, MIXED)."""
        for warm in (0, 1):
            self.ends = []
            self.probes(1, warm=warm, plans=["twice"], call_after=True)
            self.assertEqual([end.detail for end in self.ends], ["of the call"])
            self.assertEqual(self.accepted, 1)

    def test_a_late_answer_to_a_call_is_not_taken_for_that_of_a_probe(self):
        ended = self.probes(2, plans=["late"])
        self.assertEqual([health.leaf for health in ended], ["i-1", "i-1"])
        self.assertEqual(self.accepted, 2)

    def test_a_leaf_that_answers_on_no_connection_is_reported_silent(self):
        (health,) = self.probes(1, plans=["hang", "hang"])
        self.assertEqual(health.end, ProbeOutcome.SILENT)


if __name__ == "__main__":
    unittest.main()
