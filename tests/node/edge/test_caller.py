from __future__ import annotations

import socket
import unittest

import trio

from cactussaddle_common.http.message import OutgoingResponse
from cactussaddle_core.routing.model import CallerLimits
from cactussaddle_node.edge.caller import QUIET_S
from cactussaddle_node.edge.caller import CallerConnection
from cactussaddle_node.edge.caller import CallerHooks
from cactussaddle_node.edge.caller import Dropped
from cactussaddle_node.edge.caller import DropReason
from cactussaddle_node.edge.guard import TaskGuard
from cactussaddle_node.edge.listener import Listener
from cactussaddle_node.startup import listen

LIMITS = CallerLimits(
    max_header_bytes=1000, max_body_bytes=100, header_timeout_s=0.2, idle_timeout_s=0.4
)


class Node:
    """Receives requests and answers them at once, or when the test calls `answer`."""

    def __init__(self, *, at_once: bool = True) -> None:
        self.at_once = at_once
        self.stopping = False
        self.arrived: list[tuple[int, CallerConnection, object]] = []
        self.gone: list[int] = []
        self.dropped: list[Dropped] = []
        self.unread = 0
        self.port = 0
        self.errors: list[tuple[str, str, str]] = []
        self._next = 0

    def hooks(self, listener) -> CallerHooks:
        return CallerHooks(
            next_request_number=self.take_id,
            request_received=self.take,
            caller_disconnected=self.gone.append,
            data_dropped=self.dropped.append,
            data_unread=self._take_unread,
            ended=listener.connections.discard,
            stopping=lambda: self.stopping,
            limits=lambda: LIMITS,
        )

    def take_id(self) -> int:
        self._next += 1
        return self._next

    def take(self, number, connection, request) -> None:
        self.arrived.append((number, connection, request))
        if request.head.target == b"/bad":
            raise RuntimeError("a fault of the program")
        if self.at_once:
            connection.answer(number, OutgoingResponse(200, (), request.head.target))

    def _take_unread(self) -> None:
        self.unread += 1

    def report(self, task: str, error: str, place: str) -> None:
        self.errors.append((task, error, place))

    def answer(self, index: int, body: bytes) -> None:
        number, connection, _ = self.arrived[index]
        connection.answer(number, OutgoingResponse(200, (), body))


class CallerConnectionTest(unittest.TestCase):
    def run_node(self, body, *, at_once: bool = True):
        async def main():
            node = Node(at_once=at_once)
            async with trio.open_nursery() as nursery:
                sock = listen("127.0.0.1", 0)
                port = node.port = sock.getsockname()[1]
                listener = Listener(
                    sock=sock,
                    nursery=nursery,
                    guard=TaskGuard(report=node.report),
                    hooks=node.hooks,
                )
                nursery.start_soon(listener.accept)
                with listener:
                    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                        with trio.fail_after(5.0):
                            await body(node, listener, stream)
                for connection in list(listener.connections):
                    connection.close()
                nursery.cancel_scope.cancel()

        trio.run(main)

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

    def test_idle_connections_are_closed_on_request_and_busy_ones_are_not(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            listener.finish_quiet(later())
            node.answer(0, b"x")
            listener.finish_quiet(later())
            self.assertTrue((await read_until(stream, b"x")).endswith(b"x"))
            self.assertEqual(await stream.receive_some(), b"")
            await stream.aclose()
            await wait_for(lambda: not listener.connections)

        self.run_node(body, at_once=False)

    def test_an_answer_that_a_slow_caller_has_not_read_outlives_a_stop(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            node.answer(0, b"z" * 6_000_000)
            listener.finish_quiet(later())
            self.assertFalse(listener.end(later(), forced=False))
            total = 0
            while total < 6_000_000:
                piece = await stream.receive_some(50_000)
                self.assertNotEqual(piece, b"")
                total += len(piece)
            await wait_for(lambda: listener.end(later(), forced=False))
            self.assertEqual(await stream.receive_some(), b"")

        self.run_node(body, at_once=False)

    def test_an_end_waits_for_requests_that_have_come_and_are_not_read(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            node.answer(0, b"x")
            await read_until(stream, b"x")
            others = [await trio.open_tcp_stream("127.0.0.1", node.port) for _ in range(3)]
            await wait_for(lambda: len(listener.connections) == 4)
            send_now(stream, b"GET /b HTTP/1.1\r\n\r\n")
            send_now(others[0], b"GET /c HT")
            self.assertFalse(listener.end(later(), forced=False))
            listener.finish_quiet(later())
            await others[0].send_all(b"TP/1.1\r\n\r\n")
            await wait_for(lambda: len(node.arrived) == 3)
            self.assertFalse(listener.end(later(), forced=False))
            for index in (1, 2):
                node.answer(index, b"x")
            for caller in (stream, others[0]):
                self.assertIn(b"x", await read_until(caller, b"x"))
            self.assertTrue(listener.end(later(), forced=False))
            for caller in (stream, *others):
                self.assertEqual(await caller.receive_some(), b"")
                await caller.aclose()

        self.run_node(body, at_once=False)

    def test_an_end_waits_for_connections_in_the_backlog(self):
        async def body(node, listener, stream):
            await wait_for(lambda: listener.connections)
            late = socket.create_connection(("127.0.0.1", node.port))
            late.sendall(b"GET /late HTTP/1.1\r\n\r\n")
            self.assertFalse(listener.end(later(), forced=False))
            await wait_for(lambda: node.arrived)
            node.answer(0, b"x")
            self.assertIn(b"x", late.recv(1000))
            self.assertTrue(listener.end(later(), forced=False))
            late.close()

        self.run_node(body, at_once=False)

    def test_a_listener_that_was_stopped_while_it_accepted_fails_on_its_closed_socket(self):
        async def body(node, listener, stream):
            listener.stop()
            with trio.fail_after(1.0):
                await listener.accept()

        self.run_node(body)

    def test_what_comes_after_the_end_is_not_passed_on(self):
        async def body(node, listener, stream):
            await wait_for(lambda: listener.connections)
            self.assertTrue(listener.end(later(), forced=False))
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            self.assertEqual(await stream.receive_some(), b"")
            await trio.sleep(0.05)
            self.assertEqual(node.arrived, [])

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

    def test_a_request_that_crosses_the_close_is_read_and_dropped(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await read_until(stream, b"/a")
            listener.finish_quiet(later())
            await stream.send_all(b"GET /b HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.unread)
            self.assertEqual(await stream.receive_some(), b"")
            self.assertEqual((len(node.arrived), node.dropped), (1, []))

        self.run_node(body)

    def test_a_connection_in_use_is_closed_between_two_requests(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await read_until(stream, b"/a")
            listener.finish_quiet(trio.current_time() + 0.5 * QUIET_S)
            self.assertFalse(listener.end(trio.current_time() + 0.5 * QUIET_S, forced=False))
            node.stopping = True
            await stream.send_all(b"GET /b HTTP/1.1\r\n\r\n")
            self.assertIn(b"Connection: close", await read_until(stream, b"/b"))
            self.assertTrue(listener.end(trio.current_time(), forced=False))

        self.run_node(body)

    def test_requests_sent_ahead_are_dropped_behind_an_answer_that_ends_the_connection(self):
        async def body(node, listener, stream):
            ahead = [b"GET /%d HTTP/1.1\r\n\r\n" % number for number in range(3)]
            await stream.send_all(ahead[0] + ahead[1] + ahead[2][:9])
            await wait_for(lambda: node.arrived)
            node.stopping = True
            node.answer(0, b"first")
            node.answer(1, b"second")
            self.assertNotIn(b"Connection: close", await read_until(stream, b"second"))
            await stream.send_all(ahead[2][9:])
            await wait_for(lambda: len(node.arrived) == 3)
            node.answer(2, b"third")
            self.assertIn(b"Connection: close", await read_until(stream, b"third"))
            self.assertEqual(node.dropped, [])

        self.run_node(body, at_once=False)

    def test_the_end_of_a_connection_in_use_cuts_its_answer(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            self.assertTrue(listener.end(later(), forced=True))
            node.answer(0, b"whole")
            answer = await read_until(stream, b"whole")
            self.assertTrue(answer.endswith(b"whole"))
            self.assertIn(b"Connection: close", answer)
            self.assertEqual(await stream.receive_some(), b"")

        self.run_node(body, at_once=False)

    def test_a_caller_that_closes_a_connection_at_its_end_is_not_gone(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            listener.end(later(), forced=True)
            await stream.aclose()
            await wait_for(lambda: not listener.connections)
            self.assertEqual(node.gone, [node.arrived[0][0]])

        self.run_node(body, at_once=False)

    def test_the_process_ends_before_an_answer_to_a_slow_caller_is_written(self):
        async def body(node, listener, stream):
            await stream.send_all(b"GET /a HTTP/1.1\r\n\r\n")
            await wait_for(lambda: node.arrived)
            node.answer(0, b"z" * 6_000_000)
            self.assertTrue(listener.end(later(), forced=True))
            with trio.move_on_after(0.1) as scope:
                await listener.wait_written()
            self.assertTrue(scope.cancelled_caught)
            total = 0
            while piece := await stream.receive_some(100_000):
                total += len(piece)
            self.assertGreater(total, 6_000_000)
            await listener.wait_written()

        self.run_node(body, at_once=False)

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


def later() -> float:
    """Return a time at which a connection that is idle now is quiet."""
    return trio.current_time() + 2.0 * QUIET_S


def send_now(stream, data: bytes) -> None:
    """Send without yielding to other tasks."""
    stream.socket._sock.send(data)


async def drip(stream, start: bytes) -> None:
    """Send `start`, then one byte at a time, 20 per second."""
    try:
        await stream.send_all(start)
        while True:
            await trio.sleep(0.05)
            await stream.send_all(b"a")
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def read_until(stream, end: bytes) -> bytes:
    data = b""
    while end not in data:
        piece = await stream.receive_some()
        if not piece:
            break
        data += piece
    return data


async def wait_for(condition) -> None:
    while not condition():
        await trio.sleep(0.005)


if __name__ == "__main__":
    unittest.main()
