from __future__ import annotations

import socket
import unittest

from typing import Any

import trio

from cactussaddle_common.http.channel import Exchange
from cactussaddle_common.http.channel import Loss
from cactussaddle_common.http.fetch import fetch
from cactussaddle_common.http.pool import Pool
from cactussaddle_common.http.pool import PoolSettings
from tests.node.edge.servers import read_request
from tests.node.edge.servers import reply
from tests.node.edge.servers import served

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


def run(handler, body, most: int = 2):
    async def main():
        async with served(handler) as address, trio.open_nursery() as nursery:
            settings = PoolSettings(most, 0.5, lambda took_s: None)
            pool = Pool(address=address, nursery=nursery, settings=settings)
            await body(pool)
            pool.abort()

    trio.run(main)


def body_of(end: Any) -> bytes:
    return bytes(end.response.body)


class BrokenSocket:
    """A socket on which nothing can be sent any more."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def send(self, data: bytes) -> int:
        raise BrokenPipeError(32, "broken pipe")


async def answers(stream):
    async with stream:
        while await read_request(stream):
            await stream.send_all(reply())


def endless(start: bytes, rest: bytes):
    """Return a server that answers with bytes without end, until the connection is closed."""

    async def handler(stream):
        async with stream:
            await read_request(stream)
            try:
                await stream.send_all(start)
                while True:
                    await stream.send_all(rest)
            except trio.BrokenResourceError:
                return

    return handler


class UnexpectedErrorTest(unittest.TestCase):
    def test_it_ends_its_exchange_alone(self):
        async def body(pool):
            ends: list[Any] = []

            def accept(response):
                raise RuntimeError("a fault of the program")

            exchange = Exchange(data=REQUEST, left=lambda: None, accept=accept, ended=ends.append)
            pool.start(exchange)
            while not ends:
                await trio.sleep(0.005)
            self.assertIs(ends[0].loss, Loss.NONSENSE)
            self.assertIn("a fault of the program", ends[0].detail)
            self.assertEqual(body_of(await fetch(pool, REQUEST, 1.0)), b"ok")

        run(answers, body)


class EndlessPeerTest(unittest.TestCase):
    def test_an_answer_without_end_ends_its_connection_soon(self):
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = {
            "header": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 65_536),
            "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            "chunks": (chunked, b"400\r\n" + b"a" * 1024 + b"\r\n"),
            "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 65_536),
        }
        for name, (start, rest) in cases.items():

            async def body(pool, name=name):
                began = trio.current_time()
                end = await fetch(pool, REQUEST, 5.0, max_body_bytes=100_000)
                with self.subTest(name):
                    self.assertIs(end.loss, Loss.NONSENSE)
                    self.assertLess(trio.current_time() - began, 1.0)
                    self.assertEqual(len(pool.channels), 0)

            run(endless(start, rest), body)


class PoolTest(unittest.TestCase):
    def test_a_connection_is_used_again(self):
        async def body(pool):
            for _ in range(3):
                end = await fetch(pool, REQUEST, 1.0)
                self.assertEqual(body_of(end), b"ok")
            self.assertEqual(len(pool.channels), 1)
            self.assertTrue(end.reused)

        run(answers, body)

    def test_no_more_connections_than_allowed_and_others_wait_for_one(self):
        most = 0

        async def slow(stream):
            async with stream:
                while await read_request(stream):
                    await trio.sleep(0.05)
                    await stream.send_all(reply())

        async def body(pool):
            nonlocal most
            ends: list[Any] = []
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(self.keep, pool, ends, 1.0)
                await trio.sleep(0.02)
                most = len(pool.channels)
            self.assertEqual((most, len(pool.channels)), (2, 2))
            self.assertTrue(all(end.response is not None for end in ends))

        run(slow, body)

    def test_one_that_waits_for_a_connection_can_be_cancelled(self):
        async def silent(stream):
            await trio.sleep_forever()

        async def body(pool):
            ends: list[Any] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.keep, pool, ends, 0.3)
                await trio.sleep(0.01)
                nursery.start_soon(self.keep, pool, ends, 0.1)
            self.assertEqual([end.loss for end in ends], [Loss.NEVER_SENT, Loss.CANCELLED])

        run(silent, body, most=1)

    def test_a_write_that_fails_at_once_ends_just_its_own_exchange(self):
        async def body(pool):
            ends: list[Any] = []
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(self.keep, pool, ends, 1.0)
                await trio.sleep(0.01)
                (channel,) = pool.channels
                channel._sock = BrokenSocket(channel._sock)
                channel._outbox._sock = channel._sock
            self.assertEqual([end.loss for end in ends].count(Loss.RESET), 1)
            self.assertEqual([end.loss for end in ends].count(None), 2)

        async def slow(stream):
            async with stream:
                while await read_request(stream):
                    await trio.sleep(0.05)
                    await stream.send_all(reply())

        run(slow, body, most=1)

    async def keep(self, pool, ends, timeout_s):
        ends.append(await fetch(pool, REQUEST, timeout_s))

    def test_an_answer_and_one_more_is_taken_and_the_connection_dropped(self):
        async def twice(stream):
            async with stream:
                while await read_request(stream):
                    await stream.send_all(reply() + reply(b"more"))

        async def body(pool):
            end = await fetch(pool, REQUEST, 1.0)
            self.assertEqual(body_of(end), b"ok")
            self.assertEqual(len(pool.channels), 0)

        run(twice, body)

    def test_bytes_on_an_idle_connection_end_it(self):
        async def late(stream):
            async with stream:
                await read_request(stream)
                await stream.send_all(reply())
                await trio.sleep(0.02)
                await stream.send_all(reply(b"more"))
                await read_request(stream)

        async def body(pool):
            await fetch(pool, REQUEST, 1.0)
            await trio.sleep(0.1)
            self.assertEqual(len(pool.channels), 0)

        run(late, body)

    def test_an_answer_to_another_request_is_passed_over(self):
        async def crossed(stream):
            async with stream:
                await read_request(stream)
                await stream.send_all(reply(b"other") + reply(b"mine"))
                await trio.sleep(1.0)

        async def body(pool):
            ends: list[Any] = []
            exchange = Exchange(
                data=REQUEST,
                left=lambda: None,
                accept=lambda response: response.body == b"mine",
                ended=ends.append,
            )
            pool.start(exchange)
            await trio.sleep(0.1)
            self.assertEqual(ends[0].response.body, b"mine")
            self.assertEqual(len(pool.channels), 0)

        run(crossed, body)

    def test_an_answer_that_breaks_off_is_none(self):
        async def short(stream):
            async with stream:
                await read_request(stream)
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")

        async def body(pool):
            end = await fetch(pool, REQUEST, 1.0)
            self.assertEqual((end.response, end.loss), (None, Loss.CLOSED))

        run(short, body)

    def test_an_answer_without_a_length_that_is_reset_is_none(self):
        async def reset(stream):
            await read_request(stream)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nabc")
            await trio.sleep(0.05)
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()

        async def body(pool):
            end = await fetch(pool, REQUEST, 1.0)
            self.assertEqual((end.response, end.loss), (None, Loss.RESET))

        run(reset, body)

    def test_nobody_listening_is_not_connected(self):
        async def main():
            async with trio.open_nursery() as nursery:
                async with served(answers) as address:
                    pass
                settings = PoolSettings(1, 0.5, lambda took_s: None)
                pool = Pool(address=address, nursery=nursery, settings=settings)
                end = await fetch(pool, REQUEST, 1.0)
                self.assertEqual(end.loss, Loss.NOT_CONNECTED)

        trio.run(main)

    def test_a_call_without_an_answer_is_given_up_with_its_connection(self):
        async def silent(stream):
            await trio.sleep_forever()

        async def body(pool):
            end = await fetch(pool, REQUEST, 0.1)
            self.assertEqual(end.loss, Loss.CANCELLED)
            self.assertEqual(len(pool.channels), 0)

        run(silent, body)

    def test_a_copy_without_an_id_is_no_answer_where_answers_bear_ids(self):
        """The copy of the first answer lies on the connection when the second request goes out."""

        async def copies(stream):
            async with stream:
                await read_request(stream)
                await stream.send_all(reply(b"one", b"Request-Id: 1\r\n"))
                await read_request(stream)
                await stream.send_all(reply(b"one"))
                await stream.send_all(reply(b"two", b"Request-Id: 2\r\n"))

        def accept(number):
            def accepts(response):
                echoed = response.header(b"request-id")
                return None if echoed is None else echoed == number

            return accepts

        async def body(pool):
            ends: list[Any] = []
            for number in (b"1", b"2"):
                exchange = Exchange(
                    data=REQUEST, left=lambda: None, accept=accept(number), ended=ends.append
                )
                pool.start(exchange)
                with trio.fail_after(1.0):
                    while len(ends) < int(number):
                        await trio.sleep(0.005)
            self.assertEqual([body_of(end) for end in ends], [b"one", b"two"])
            self.assertEqual(len(pool.channels), 0)

        run(copies, body, most=1)

    def test_an_idle_connection_is_not_used_longer_than_its_peer_says(self):
        connections = 0

        async def keeps_a_second(stream):
            nonlocal connections
            connections += 1
            async with stream:
                while await read_request(stream):
                    await stream.send_all(reply(b"ok", b"Keep-Alive: timeout=1, max=9\r\n"))

        async def body(pool):
            for idle_s, expected in ((0.0, 1), (0.3, 1), (0.6, 2)):
                await trio.sleep(idle_s)
                self.assertEqual(body_of(await fetch(pool, REQUEST, 1.0)), b"ok")
                self.assertEqual(connections, expected)

        run(keeps_a_second, body)

    def test_a_connection_that_was_dropped_while_idle_shortens_the_idle_time(self):
        async def body(pool):
            before = pool.idle_limit_s
            pool.dropped_idle(0.4)
            self.assertLess(pool.idle_limit_s, before)
            self.assertAlmostEqual(pool.idle_limit_s, 0.2)

        run(answers, body)

    def test_a_fresh_exchange_never_takes_an_idle_connection(self):
        async def body(pool):
            await fetch(pool, REQUEST, 1.0)
            ends: list[Any] = []
            exchange = Exchange(
                data=REQUEST, left=lambda: None, accept=lambda response: True, ended=ends.append
            )
            pool.start(exchange, fresh=True)
            await trio.sleep(0.1)
            self.assertFalse(ends[0].reused)

        run(answers, body)


if __name__ == "__main__":
    unittest.main()
