from __future__ import annotations

import os
import select
import socket
import unittest

from contextlib import suppress
from typing import Any
from unittest import mock

import trio

from cactussaddle_common.http.channel import Exchange
from cactussaddle_common.http.channel import ExchangeFailure
from cactussaddle_common.http.fetch import fetch
from cactussaddle_common.http.pool import Pool
from cactussaddle_common.http.pool import PoolSettings
from tests.node.edge.servers import read_request
from tests.node.edge.servers import reply
from tests.node.edge.servers import served

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


def run(handler, body, max_connections: int = 2):
    async def main():
        async with served(handler) as address, trio.open_nursery() as nursery:
            settings = PoolSettings(max_connections, 0.5, lambda took_s: None, is_checked=True)
            pool = Pool(address=address, nursery=nursery, settings=settings)
            await body(pool)
            pool.abort()

    trio.run(main)


def body_of(end: Any) -> bytes:
    return bytes(end.response.body)


class BrokenSocket:
    """A socket on which every send fails."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def send(self, data: bytes) -> int:
        raise BrokenPipeError(32, "broken pipe")


async def serve_requests(stream):
    async with stream:
        while await read_request(stream):
            await stream.send_all(reply())


def endless(start: bytes, rest: bytes):
    """Return a handler that sends an endless response until the connection is closed."""

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
    def test_unexpected_error_ends_only_its_own_exchange(self):
        async def body(pool):
            results: list[Any] = []

            def accept(response):
                raise RuntimeError("unexpected error in accept")

            exchange = Exchange(
                encode=lambda: REQUEST, left=lambda: None, accept=accept, ended=results.append
            )
            pool.start(exchange)
            while not results:
                await trio.sleep(0.005)
            self.assertIs(results[0].failure, ExchangeFailure.INVALID_RESPONSE)
            self.assertIn("unexpected error in accept", results[0].detail)
            self.assertEqual(body_of(await fetch(pool, REQUEST, 1.0)), b"ok")

        run(serve_requests, body)

    def test_request_that_cannot_be_encoded_ends_only_its_own_exchange(self):
        async def body(pool):
            self.assertEqual(body_of(await fetch(pool, REQUEST, 1.0)), b"ok")
            results: list[Any] = []

            def encode():
                raise RuntimeError("unexpected error in encode")

            exchange = Exchange(
                encode=encode,
                left=lambda: self.fail("the request was not sent"),
                accept=lambda response: True,
                ended=results.append,
            )
            pool.start(exchange)
            self.assertIs(results[0].failure, ExchangeFailure.NEVER_SENT)
            self.assertIn("unexpected error in encode", results[0].detail)
            self.assertEqual(body_of(await fetch(pool, REQUEST, 1.0)), b"ok")

        run(serve_requests, body)

    def test_socket_that_cannot_be_opened_ends_its_exchange_and_no_other(self):
        """Guards against exchanges that never end when the process has no descriptors left."""

        async def body(pool):
            results: list[Any] = []

            def start():
                exchange = Exchange(
                    encode=lambda: REQUEST,
                    left=lambda: None,
                    accept=lambda response: True,
                    ended=results.append,
                )
                pool.start(exchange)

            start()
            start()
            with mock.patch.object(socket, "socket", side_effect=OSError(24, "too many files")):
                for channel in list(pool.channels):
                    channel.close()
                pool.warm(1)
                start()
            self.assertCountEqual(
                [end.failure for end in results],
                [ExchangeFailure.CANCELLED, ExchangeFailure.NEVER_SENT, ExchangeFailure.NEVER_SENT],
            )
            self.assertEqual(body_of(await fetch(pool, REQUEST, 1.0)), b"ok")

        run(serve_requests, body, max_connections=1)


class EndlessPeerTest(unittest.TestCase):
    def test_endless_response_closes_the_connection_within_a_second(self):
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = {
            "header": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 65_536),
            "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            "chunks": (chunked, b"400\r\n" + b"a" * 1024 + b"\r\n"),
            "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 65_536),
        }
        for name, (start, rest) in cases.items():

            async def body(pool, name=name):
                started = trio.current_time()
                end = await fetch(pool, REQUEST, 5.0, max_body_bytes=100_000)
                with self.subTest(name):
                    self.assertIs(end.failure, ExchangeFailure.INVALID_RESPONSE)
                    self.assertLess(trio.current_time() - started, 1.0)
                    self.assertEqual(len(pool.channels), 0)

            run(endless(start, rest), body)


class PoolTest(unittest.TestCase):
    def test_connection_is_reused(self):
        async def body(pool):
            for _ in range(3):
                end = await fetch(pool, REQUEST, 1.0)
                self.assertEqual(body_of(end), b"ok")
            self.assertEqual(len(pool.channels), 1)
            self.assertTrue(end.reused)

        run(serve_requests, body)

    def test_exchanges_beyond_the_connection_limit_wait(self):
        count = 0

        async def slow(stream):
            async with stream:
                while await read_request(stream):
                    await trio.sleep(0.05)
                    await stream.send_all(reply())

        async def body(pool):
            nonlocal count
            results: list[Any] = []
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(self.fetch_into, pool, results, 1.0)
                await trio.sleep(0.02)
                count = len(pool.channels)
            self.assertEqual((count, len(pool.channels)), (2, 2))
            self.assertTrue(all(end.response is not None for end in results))

        run(slow, body)

    def test_queued_exchange_can_be_cancelled(self):
        async def silent(stream):
            await trio.sleep_forever()

        async def body(pool):
            results: list[Any] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.fetch_into, pool, results, 0.3)
                await trio.sleep(0.01)
                nursery.start_soon(self.fetch_into, pool, results, 0.1)
            self.assertEqual(
                [end.failure for end in results],
                [ExchangeFailure.NEVER_SENT, ExchangeFailure.CANCELLED],
            )

        run(silent, body, max_connections=1)

    def test_failed_write_ends_only_its_own_exchange(self):
        async def body(pool):
            results: list[Any] = []
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(self.fetch_into, pool, results, 1.0)
                await trio.sleep(0.01)
                (channel,) = pool.channels
                channel._sock = BrokenSocket(channel._sock)
                channel._send_buffer._sock = channel._sock
            self.assertEqual([end.failure for end in results].count(ExchangeFailure.RESET), 1)
            self.assertEqual([end.failure for end in results].count(None), 2)

        async def slow(stream):
            async with stream:
                while await read_request(stream):
                    await trio.sleep(0.05)
                    await stream.send_all(reply())

        run(slow, body, max_connections=1)

    async def fetch_into(self, pool, results, timeout_s):
        results.append(await fetch(pool, REQUEST, timeout_s))

    def test_first_of_two_responses_is_accepted_and_the_connection_closed(self):
        async def send_two_responses(stream):
            async with stream:
                while await read_request(stream):
                    await stream.send_all(reply() + reply(b"more"))

        async def body(pool):
            end = await fetch(pool, REQUEST, 1.0)
            self.assertEqual(body_of(end), b"ok")
            self.assertEqual(len(pool.channels), 0)

        run(send_two_responses, body)

    def test_data_on_an_idle_connection_closes_it(self):
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

    def test_second_copy_that_is_already_there_is_not_the_next_response(self):
        """Guards against a copy that came since the last read being taken for the next answer."""

        async def body(pool):
            first = await fetch(pool, REQUEST, 1.0)
            (channel,) = pool.channels
            # Sent and received while the channel's task can't run.
            os.write(accepted[0], reply(b"1"))
            select.select([channel._sock], [], [], 1.0)
            second = await fetch(pool, REQUEST, 1.0)
            self.assertEqual([body_of(first), body_of(second)], [b"1", b"2"])

        accepted: list[int] = []

        async def copied_later(stream):
            accepted.append(stream.socket.fileno())
            with suppress(trio.BrokenResourceError):
                while await read_request(stream):
                    await stream.send_all(reply(b"%d" % len(accepted)))

        run(copied_later, body)

    def test_exchange_alone_on_its_connection_meets_no_other_response(self):
        count = 0

        async def number_connections(stream):
            nonlocal count
            count += 1
            number = b"%d" % count
            async with stream:
                while await read_request(stream):
                    await stream.send_all(reply(number))

        async def body(pool):
            bodies = []
            for single in (False, True, True, False):
                bodies.append(body_of(await fetch(pool, REQUEST, 1.0, single=single)))
            self.assertEqual(bodies, [b"1", b"2", b"3", b"1"])
            self.assertEqual(len(pool.channels), 1)

        run(number_connections, body)

    def test_response_to_another_request_is_skipped(self):
        async def send_other_first(stream):
            async with stream:
                await read_request(stream)
                await stream.send_all(reply(b"other") + reply(b"mine"))
                await trio.sleep(1.0)

        async def body(pool):
            results: list[Any] = []
            exchange = Exchange(
                encode=lambda: REQUEST,
                left=lambda: None,
                accept=lambda response: response.body == b"mine",
                ended=results.append,
            )
            pool.start(exchange)
            await trio.sleep(0.1)
            self.assertEqual(results[0].response.body, b"mine")
            self.assertEqual(len(pool.channels), 0)

        run(send_other_first, body)

    def test_truncated_response_is_not_returned(self):
        async def truncated(stream):
            async with stream:
                await read_request(stream)
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")

        async def body(pool):
            end = await fetch(pool, REQUEST, 1.0)
            self.assertEqual((end.response, end.failure), (None, ExchangeFailure.CLOSED))

        run(truncated, body)

    def test_response_without_length_that_is_reset_is_not_returned(self):
        async def reset(stream):
            await read_request(stream)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nabc")
            await trio.sleep(0.05)
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()

        async def body(pool):
            end = await fetch(pool, REQUEST, 1.0)
            self.assertEqual((end.response, end.failure), (None, ExchangeFailure.RESET))

        run(reset, body)

    def test_closed_port_fails_as_not_connected(self):
        async def main():
            async with trio.open_nursery() as nursery:
                async with served(serve_requests) as address:
                    pass
                settings = PoolSettings(1, 0.5, lambda took_s: None)
                pool = Pool(address=address, nursery=nursery, settings=settings)
                end = await fetch(pool, REQUEST, 1.0)
                self.assertEqual(end.failure, ExchangeFailure.NOT_CONNECTED)

        trio.run(main)

    def test_exchange_without_response_times_out_and_closes_its_connection(self):
        async def silent(stream):
            await trio.sleep_forever()

        async def body(pool):
            end = await fetch(pool, REQUEST, 0.1)
            self.assertEqual(end.failure, ExchangeFailure.CANCELLED)
            self.assertEqual(len(pool.channels), 0)

        run(silent, body)

    def test_response_without_id_is_skipped_if_the_peer_sends_ids(self):
        """Guards against a duplicate of the first response being taken for the second one.

        The duplicate bears no id and is sent just before the response to the second request.
        """

        async def duplicate(stream):
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
            results: list[Any] = []
            for number in (b"1", b"2"):
                exchange = Exchange(
                    encode=lambda: REQUEST,
                    left=lambda: None,
                    accept=accept(number),
                    ended=results.append,
                )
                pool.start(exchange)
                with trio.fail_after(1.0):
                    while len(results) < int(number):
                        await trio.sleep(0.005)
            self.assertEqual([body_of(end) for end in results], [b"one", b"two"])
            self.assertEqual(len(pool.channels), 0)

        run(duplicate, body, max_connections=1)

    def test_idle_connection_is_not_reused_after_the_peers_keep_alive_timeout(self):
        connections = 0

        async def keep_alive_of_one_second(stream):
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

        run(keep_alive_of_one_second, body)

    def test_idle_drop_lowers_the_idle_limit(self):
        async def body(pool):
            before = pool.idle_limit_s
            pool.record_idle_drop(0.4)
            self.assertLess(pool.idle_limit_s, before)
            self.assertAlmostEqual(pool.idle_limit_s, 0.2)

        run(serve_requests, body)

    def test_an_idle_connection_that_the_peer_ends_before_its_time_is_reported(self):
        for header, told in ((b"Keep-Alive: timeout=5\r\n", 1), (b"Keep-Alive: timeout=0\r\n", 0)):
            with self.subTest(header=header):
                drops: list[int] = []

                async def close_soon(stream, header=header):
                    async with stream:
                        await read_request(stream)
                        await stream.send_all(reply(b"ok", header))
                        await trio.sleep(0.1)

                async def main(close_soon=close_soon, drops=drops):
                    async with served(close_soon) as address, trio.open_nursery() as nursery:
                        settings = PoolSettings(
                            1, 0.5, lambda took_s: None, on_drop=lambda: drops.append(1)
                        )
                        pool = Pool(address=address, nursery=nursery, settings=settings)
                        await fetch(pool, REQUEST, 1.0)
                        await trio.sleep(0.3)
                        pool.abort()
                        nursery.cancel_scope.cancel()

                trio.run(main)
                self.assertEqual(len(drops), told)

    def test_fresh_exchange_never_uses_an_idle_connection(self):
        async def body(pool):
            await fetch(pool, REQUEST, 1.0)
            results: list[Any] = []
            exchange = Exchange(
                encode=lambda: REQUEST,
                left=lambda: None,
                accept=lambda response: True,
                ended=results.append,
            )
            pool.start(exchange, fresh=True)
            await trio.sleep(0.1)
            self.assertFalse(results[0].reused)

        run(serve_requests, body)


if __name__ == "__main__":
    unittest.main()
