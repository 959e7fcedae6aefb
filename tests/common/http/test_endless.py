"""Peers that send bytes without end: what is kept, and how soon it is noticed."""

from __future__ import annotations

import itertools
import time
import tracemalloc
import unittest

from cactussaddle_common.http.bounds import BodyAllowance
from cactussaddle_common.http.requestreader import RequestFaultError
from cactussaddle_common.http.requestreader import RequestReader
from cactussaddle_common.http.response import MAX_BODY_BYTES
from cactussaddle_common.http.response import BadResponseError
from cactussaddle_common.http.response import ResponseReader
from cactussaddle_core.routing.model import CallerLimits

PIECE = 64 * 1024
SENT_AT_MOST = 50 * 1024 * 1024
# Processor time until a peer without an end is found out.
MOST_CPU_S = 0.5
MOST_KEPT_BYTES = 1024 * 1024
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LIMITS = CallerLimits(
    max_header_bytes=16_384, max_body_bytes=65_536, header_timeout_s=3.0, idle_timeout_s=15.0
)


def pieces(start: bytes, rest: bytes):
    """Yield `start`, then `rest` over and over in pieces of the size that is read at once."""
    yield start
    many = rest * (PIECE // len(rest))
    sent = 0
    while sent < SENT_AT_MOST:
        yield many
        sent += len(many)


RESPONSES = {
    "header value": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a"),
    "header name": (b"HTTP/1.1 200 OK\r\n", b"a"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Many: 1\r\n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"OK "),
    "empty lines": (b"", b"\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk extension": (b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"3;x=", b"a"),
    "trailer value": (b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"0\r\nX-Long: ", b"a"),
    "trailers": (b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"0\r\n", b"X-Many: 1\r\n"),
}
REQUESTS = {
    "target": (b"GET /", b"a"),
    "header value": (b"GET / HTTP/1.1\r\nX-Long: ", b"a"),
    "headers": (b"GET / HTTP/1.1\r\n", b"X-Many: 1\r\n"),
    "empty lines": (b"", b"\r\n"),
    "chunk extension": (b"POST / HTTP/1.1\r\n" + CHUNKED + b"3;x=", b"a"),
    "trailer value": (b"POST / HTTP/1.1\r\n" + CHUNKED + b"0\r\nX-Long: ", b"a"),
    "one-byte chunks": (b"POST / HTTP/1.1\r\n" + CHUNKED, b"1\r\na\r\n"),
}


class EndlessTest(unittest.TestCase):
    def assert_found_out(self, reader, start: bytes, rest: bytes, error: type[Exception]) -> None:
        tracemalloc.start()
        started = time.process_time()
        try:
            with self.assertRaises(error):
                for piece in pieces(start, rest):
                    reader.feed(piece)
            took_s = time.process_time() - started
            _, most = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(took_s, MOST_CPU_S)
        self.assertLess(most, MOST_KEPT_BYTES)

    def test_responses(self):
        for name, (start, rest) in RESPONSES.items():
            with self.subTest(name):
                self.assert_found_out(ResponseReader(), start, rest, BadResponseError)

    def test_requests(self):
        for name, (start, rest) in REQUESTS.items():
            with self.subTest(name):
                self.assert_found_out(RequestReader(limits=LIMITS), start, rest, RequestFaultError)

    def test_a_body_is_bounded_by_what_its_reader_allows(self):
        start = b"HTTP/1.1 200 OK\r\n" + CHUNKED
        reader = ResponseReader(max_body_bytes=10_000)
        self.assert_found_out(reader, start, b"400\r\n" + b"a" * 1024 + b"\r\n", BadResponseError)
        reader = ResponseReader(max_body_bytes=10_000)
        self.assert_found_out(reader, b"HTTP/1.1 200 OK\r\n\r\n", b"a", BadResponseError)

    def test_one_byte_chunks_cost_no_more_memory_than_their_bytes(self):
        reader = ResponseReader()
        tracemalloc.start()
        try:
            reader.feed(b"HTTP/1.1 200 OK\r\n" + CHUNKED)
            for _ in range(20):
                reader.feed(b"1\r\na\r\n" * 10_000)
            kept, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(kept, 20 * 10_000 * 2)

    def test_long_messages_that_end_are_taken(self):
        reader = ResponseReader()
        size = MAX_BODY_BYTES // 16
        chunk = b"1\r\na\r\n"
        reader.feed(b"HTTP/1.1 200 OK\r\n" + CHUNKED)
        for _ in itertools.repeat(None, 16):
            reader.feed(chunk * (size // 64))
        reader.feed(b"0\r\n\r\n")
        self.assertEqual(len(reader.responses[0].body), 16 * (size // 64))

    def test_each_message_of_a_connection_has_its_own_bounds(self):
        reader = ResponseReader()
        response = b"HTTP/1.1 200 OK\r\nX: " + b"a" * 60_000 + b"\r\nContent-Length: 0\r\n\r\n"
        for _ in range(20):
            reader.feed(response)
        self.assertEqual(len(reader.responses), 20)

    def test_unfinished_bodies_of_many_connections_are_bounded_together(self):
        allowance = BodyAllowance(most_bytes=MOST_KEPT_BYTES, always_bytes=PIECE)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n"
        readers = [ResponseReader(allowance=allowance) for _ in range(63)]
        ended = 0
        for reader in readers:
            reader.feed(head)
        for _ in range(10):
            for reader in list(readers):
                try:
                    reader.feed(b"a" * (PIECE // 2))
                except BadResponseError:
                    reader.forget()
                    readers.remove(reader)
                    ended += 1
        self.assertGreater(ended, 0)
        self.assertLess(allowance.held, 64 * PIECE + MOST_KEPT_BYTES)

    def test_a_usual_body_is_taken_beside_huge_ones(self):
        allowance = BodyAllowance(most_bytes=MOST_KEPT_BYTES, always_bytes=PIECE)
        huge = ResponseReader(allowance=allowance)
        huge.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n")
        huge.feed(b"a" * MOST_KEPT_BYTES)
        usual = ResponseReader(allowance=allowance)
        usual.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + b"a" * 400)
        self.assertEqual(len(usual.responses), 1)
        with self.assertRaises(BadResponseError):
            huge.feed(b"a")
        huge.forget()
        self.assertEqual(allowance.held, 0)


if __name__ == "__main__":
    unittest.main()
