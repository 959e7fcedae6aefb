from __future__ import annotations

import unittest

import trio

from cactussaddle_common.http.message import OutgoingResponse
from cactussaddle_core.callerbudget.cost import CONNECTION_BYTES
from cactussaddle_node.edge.caller import DropReason
from tests.node.edge.connections import LIMITS
from tests.node.edge.connections import ROOMY
from tests.node.edge.connections import ConnectionTest
from tests.node.edge.connections import drip
from tests.node.edge.connections import read_until
from tests.node.edge.connections import send_now
from tests.node.edge.connections import wait_for

# A request whose body stops one byte short of its end.
PART = b"POST /a HTTP/1.1\r\nContent-Length: 150000\r\n\r\n" + b"a" * 149_999
# More than a socket takes at once.
LARGE_BYTES = 20_000_000


class CallerConnectionTest(ConnectionTest):
    def test_requests_sent_ahead_are_answered_in_order(self):
        async def body(node, listener, stream):
            await stream.send_all(b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(4)))
            data = await read_until(stream, b"/3")
            bodies = [data.index(b"\r\n\r\n/%d" % n) for n in range(4)]
            self.assertEqual(bodies, sorted(bodies))

        self.run_node(body)

    def test_a_caller_that_closes_is_gone(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            await stream.aclose()
            await wait_for(lambda: node.gone)
            self.assertEqual(node.gone, [node.arrived[0][0]])
            node.arrived[0][1].answer(node.arrived[0][0], OutgoingResponse(200, (), b"late"))

        self.run_node(body, at_once=False)

    def test_an_idle_connection_is_closed_after_its_time(self):
        async def body(node, listener, stream):
            started = trio.current_time()
            self.assertEqual(await stream.receive_some(), b"")
            self.assertGreater(trio.current_time() - started, 0.35)

        self.run_node(body)

    def test_headers_that_take_too_long_are_told_so(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTT")
            self.assertIn(b" 408 ", await read_until(stream, b"\r\n\r\n"))

        self.run_node(body)

    def test_what_is_malformed_or_too_large_is_refused(self):
        async def body(node, listener, stream):
            await stream.send_all(b"POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + b"a" * 101)
            self.assertIn(b" 413 ", await read_until(stream, b"\r\n\r\n"))
            self.assertEqual(node.arrived, [])

        self.run_node(body)

    def test_a_body_is_asked_for_when_the_caller_waits_to_be(self):
        async def body(node, listener, stream):
            await stream.send_all(
                b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
            )
            self.assertIn(b"100 Continue", await read_until(stream, b"\r\n\r\n"))
            await stream.send_all(b"ab")
            self.assertIn(b" 200 ", await read_until(stream, b"/a"))

        self.run_node(body)

    def test_while_stopping_an_answer_ends_its_connection_whole(self):
        async def body(node, listener, stream):
            node.stopping = True
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            data = await read_until(stream, b"/a")
            self.assertIn(b"Connection: close", data)
            self.assertEqual(await stream.receive_some(), b"")

        self.run_node(body)

    def test_what_is_read_and_never_answered_is_reported(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")
            await read_until(stream, b"/a")
            await stream.send_all(b"GET /b HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.dropped)
            self.assertEqual(node.dropped[0].reason, DropReason.AFTER_LAST)
            async with await trio.open_tcp_stream("127.0.0.1", node.port) as other:
                await other.send_all(b"GET /c HT")
                await trio.sleep(0.05)
            await wait_for(lambda: len(node.dropped) == 2)
            self.assertEqual(node.dropped[1], (DropReason.CLOSED, (), True))

        self.run_node(body)

    def test_the_way_to_the_caller_is_known_from_the_connection(self):
        async def body(node, listener, stream):
            ways: list[float] = []
            for _ in range(2):
                await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
                await wait_for(lambda: len(node.arrived) > len(ways))
                ways.append(node.arrived[-1][1].network_time_s())
                node.answer(-1, b"x")
                await read_until(stream, b"x")
            for caller_rtt_s in ways:
                self.assertGreater(caller_rtt_s, 0.0)
                self.assertLess(caller_rtt_s, 0.1)

        self.run_node(body, at_once=False)

    def test_an_unexpected_error_costs_its_connection_alone(self):
        async def body(node, listener, stream):
            async with await trio.open_tcp_stream("127.0.0.1", node.port) as other:
                await other.send_all(b"GET /bad HTTP/1.1\r\n\r\n")
                self.assertEqual(await other.receive_some(), b"")
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            self.assertIn(b"/a", await read_until(stream, b"/a"))
            self.assertEqual(len(node.errors), 1)
            self.assertIn("a fault of the program", node.errors[0][1])

        self.run_node(body)

    def test_an_unexpected_error_behind_another_request_costs_its_connection_alone(self):
        """Such a request is started by a task of its own (review/9, LOST)."""

        async def body(node, listener, stream):
            async with await trio.open_tcp_stream("127.0.0.1", node.port) as other:
                await other.send_all(b"GET /first HTTP/1.1\r\n\r\nGET /bad HTTP/1.1\r\n\r\n")
                told = await read_until(other, b"/first")
                while piece := await other.receive_some():
                    told += piece
                self.assertEqual(told.count(b"HTTP/1.1 200"), 1)
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            self.assertIn(b"/a", await read_until(stream, b"/a"))
            self.assertEqual(len(node.errors), 1)
            self.assertEqual(len(node.gone), 1)

        self.run_node(body)

    def test_an_unexpected_error_once_an_answer_is_written_costs_its_connection_alone(self):
        async def body(node, listener, stream):
            async with await trio.open_tcp_stream("127.0.0.1", node.port) as other:
                await other.send_all(b"GET /first HTTP/1.1\r\n\r\n")
                await wait_for(lambda: node.arrived)
                node.answer(0, b"x" * LARGE_BYTES)
                await other.send_all(b"GET /bad HTTP/1.1\r\n\r\n")
                while await other.receive_some():
                    pass
            await wait_for(lambda: len(node.errors) == 1)
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: len(node.arrived) == 3)
            node.answer(-1, b"end")
            self.assertIn(b"end", await read_until(stream, b"end"))

        self.run_node(body, at_once=False)

    def test_an_answer_to_head_has_no_body(self):
        """The next request got the body as the begin of its answer (review/10, MIXED)."""

        async def body(node, listener, stream):
            await stream.send_all(b"HEAD /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
            told = await read_until(stream, b"\r\n\r\n/b")
            first, second = told.split(b"\r\n\r\n", 1)
            self.assertIn(b"Content-Length: 2", first)
            self.assertTrue(second.startswith(b"HTTP/1.1 200 "), second)

        self.run_node(body)

    def test_headers_a_byte_at_a_time_are_told_to_be_late(self):
        async def body(node, listener, stream):
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(drip, stream, b"GET /a HTTP/1.1\r\nX: ")
                self.assertIn(b" 408 ", await read_until(stream, b"\r\n\r\n"))
                nursery.cancel_scope.cancel()
            self.assertLess(trio.current_time() - began, 0.4)

        self.run_node(body)

    def test_a_body_a_byte_at_a_time_is_told_to_be_late(self):
        async def body(node, listener, stream):
            began = trio.current_time()
            await stream.send_all(b"POST /a HTTP/1.1\r\nContent-Length: 90\r\n\r\n")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(drip, stream, b"")
                self.assertIn(b" 408 ", await read_until(stream, b"\r\n\r\n"))
                nursery.cancel_scope.cancel()
            self.assertLess(trio.current_time() - began, 1.0)

        self.run_node(body)

    def test_a_large_answer_reaches_a_slow_reader_whole(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")
            await wait_for(lambda: node.arrived)
            node.arrived[0][1].answer(
                node.arrived[0][0], OutgoingResponse(200, (), b"z" * 6_000_000)
            )
            total = 0
            while piece := await stream.receive_some(100_000):
                total += len(piece)
            self.assertGreater(total, 6_000_000)

        self.run_node(body, at_once=False)

    def test_requests_far_ahead_are_not_read_until_there_is_room(self):
        async def body(node, listener, stream):
            await stream.send_all(b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(900)))
            await wait_for(lambda: node.arrived)
            await trio.sleep(0.05)
            held = node.budget.account.held
            self.assertLess(held, 400_000)
            for number in range(900):
                await wait_for(lambda number=number: len(node.arrived) > number)
                node.answer(-1, b"")
            data = await read_until_count(stream, b" 200 ", 900)
            self.assertEqual(data.count(b" 200 "), 900)
            self.assertLess(node.budget.account.held, held)

        self.run_node(body, at_once=False)

    def test_requests_far_ahead_at_once_are_all_answered_in_order(self):
        async def body(node, listener, stream):
            await stream.send_all(b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(900)))
            data = await read_until_count(stream, b" 200 ", 900)
            targets = [request.head.target for _, _, request in node.arrived]
            self.assertEqual(targets, [b"/%d" % number for number in range(900)])
            self.assertEqual(data.count(b" 200 "), 900)

        self.run_node(body)

    def test_requests_far_ahead_do_not_keep_other_callers_waiting(self):
        async def body(node, listener, stream):
            async with await trio.open_tcp_stream("127.0.0.1", node.port) as other:
                await wait_for(lambda: len(listener.connections) == 2)
                send_now(stream, b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(900)))
                send_now(other, b"GET /other HTTP/1.1\r\n\r\n")
                await read_until(other, b"/other")
                before = [request.head.target for _, _, request in node.arrived].index(b"/other")
                self.assertLess(before, 10)
                await read_until_count(stream, b" 200 ", 900)

        self.run_node(body)

    def test_the_next_request_waits_for_a_reader_of_the_answer_before_it(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            node.answer(0, b"z" * 20_000_000)
            await trio.sleep(0.05)
            self.assertEqual(len(node.arrived), 1)
            self.assertGreater(node.budget.account.held, 1_000_000)
            while len(node.arrived) < 2:
                await stream.receive_some(1_000_000)
            node.answer(1, b"last")
            self.assertIn(b"last", await read_until(stream, b"last"))

        self.run_node(body, at_once=False)

    def test_a_body_that_stalls_is_refused_as_not_run_when_room_is_short(self):
        async def body(node, listener, stream):
            await stream.send_all(PART)
            await wait_for(lambda: node.budget.account.held > len(PART))
            async with await trio.open_tcp_stream("127.0.0.1", node.port) as other:
                await other.send_all(PART)
                answer = await read_until(stream, b"\r\n\r\n")
                self.assertIn(b" 503 ", answer)
                self.assertIn(b"Connection: close", answer)
                self.assertIn(b"Retry-After", answer)
                await other.send_all(b"a")
                self.assertIn(b" 200 ", await read_until(other, b"/a"))
            self.assertEqual(len(node.arrived), 1)
            node.budget.report(trio.current_time())
            self.assertEqual([event.by_reason for event in node.closed], [{"refused": 1}])

        # Room for one body beside another one that is still small.
        rules = ROOMY._replace(budget_bytes=250_000)
        self.run_node(body, rules=rules, limits=LIMITS._replace(max_body_bytes=200_000))

    def test_a_request_for_which_there_is_no_room_is_refused_before_it_begins(self):
        async def body(node, listener, stream):
            await stream.send_all(PART + b"a")
            self.assertIn(b" 503 ", await read_until(stream, b"\r\n\r\n"))
            self.assertEqual(node.arrived, [])
            async with await trio.open_tcp_stream("127.0.0.1", node.port) as other:
                await other.send_all(b"GET /a HTTP/1.1\r\n\r\n")
                self.assertIn(b" 200 ", await read_until(other, b"/a"))

        rules = ROOMY._replace(served_bytes=200_000)
        self.run_node(body, rules=rules, limits=LIMITS._replace(max_body_bytes=200_000))

    def test_bad_requests_are_told_so(self):
        async def body(node, listener, stream):
            for request in (
                b"GET\r\n\r\n",
                b"GET /a HTTP/1.1\r\nno colon\r\n\r\n",
                b"\x00\x01\r\n",
            ):
                async with await trio.open_tcp_stream("127.0.0.1", node.port) as other:
                    await other.send_all(request)
                    self.assertIn(b" 400 ", await read_until(other, b"\r\n\r\n"))
            self.assertEqual(node.arrived, [])

        self.run_node(body)

    def test_a_body_announced_over_the_limit_is_refused_before_it_comes(self):
        async def body(node, listener, stream):
            await stream.send_all(b"POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n")
            self.assertIn(b" 413 ", await read_until(stream, b"\r\n\r\n"))
            self.assertEqual(node.arrived, [])

        self.run_node(body)

    def test_a_refused_caller_that_sends_on_is_closed(self):
        async def body(node, listener, stream):
            # Ends with an error once the connection is closed.
            await drip(stream, b"POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n")
            self.assertEqual(node.dropped, [(DropReason.AFTER_LAST, (), True)])

        self.run_node(body)

    def test_a_connection_that_is_idle_after_an_answer_is_closed(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            await trio.sleep(0.05)
            node.answer(0, b"x")
            await read_until(stream, b"x")
            self.assertEqual(await stream.receive_some(), b"")

        self.run_node(body, at_once=False)

    def test_a_caller_that_stops_reading_its_answer_is_closed(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            await trio.sleep(0.05)
            node.answer(0, b"z" * 20_000_000)
            await wait_for(lambda: not listener.connections)

        self.run_node(body, at_once=False)

    def test_what_a_closed_connection_held_is_given_back(self):
        async def body(node, listener, stream):
            async with await trio.open_tcp_stream("127.0.0.1", node.port) as other:
                await other.send_all(b"POST /a HTTP/1.1\r\nContent-Length: 90\r\n\r\n" + b"a" * 30)
                await wait_for(lambda: len(node.budget.account.holders) == 2)
            await wait_for(lambda: len(node.budget.account.holders) == 1)
            self.assertEqual(node.budget.account.held, CONNECTION_BYTES)

        self.run_node(body)

    def test_a_slow_reader_is_not_taken_for_idle(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            node.answer(0, b"z" * 20_000_000)
            total = 0
            # Some steps on each of which less is read than is sent, for longer than the idle time-out.
            for _ in range(10):
                await trio.sleep(0.1)
                total += len(await stream.receive_some(1_000_000))
            while total < 20_000_000:
                piece = await stream.receive_some(1_000_000)
                self.assertTrue(piece, "closed while its caller reads")
                total += len(piece)

        self.run_node(body, at_once=False)


async def read_until_count(stream, text: bytes, count: int) -> bytes:
    data = b""
    while data.count(text) < count and (piece := await stream.receive_some()):
        data += piece
    return data


if __name__ == "__main__":
    unittest.main()
