from __future__ import annotations

import unittest

from cactussaddle_common.http.requestreader import Fault
from cactussaddle_common.http.requestreader import RequestFaultError
from cactussaddle_common.http.requestreader import RequestReader
from cactussaddle_common.http.response import BadResponseError
from cactussaddle_common.http.response import ResponseReader
from cactussaddle_core.routing.model import CallerLimits

LIMITS = CallerLimits(
    max_header_bytes=300, max_body_bytes=50, header_timeout_s=3.0, idle_timeout_s=15.0
)


class ResponseReaderTest(unittest.TestCase):
    def setUp(self):
        self.reader = ResponseReader()

    def test_response_received_in_pieces(self):
        for piece in (b"HTTP/1.1 200 OK\r\nContent-Le", b"ngth: 4\r\nX-A: 1\r\n\r\nab", b"cd"):
            self.assertEqual(self.reader.responses, [])
            self.reader.feed(piece)
        response = self.reader.responses[0]
        self.assertEqual((response.status, response.body), (200, b"abcd"))
        self.assertEqual(response.header(b"x-a"), b"1")
        self.assertTrue(self.reader.keep_alive)

    def test_a_response_to_head_ends_with_its_headers(self):
        for framing in (b"Content-Length: 40\r\n", b"Transfer-Encoding: chunked\r\n", b""):
            for body in (b"", b"a body all the same"):
                with self.subTest(framing=framing, body=body):
                    self.setUp()
                    self.reader.bodiless = True
                    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
                    self.reader.feed(interim + b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + body)
                    (response,) = self.reader.responses
                    self.assertEqual((response.status, response.body), (200, b""))
                    self.assertFalse(self.reader.keep_alive)

    def test_two_responses_in_one_read(self):
        self.reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 2)
        self.assertEqual(len(self.reader.responses), 2)

    def test_start_of_a_second_response_is_detected(self):
        self.reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 2")
        self.assertEqual((len(self.reader.responses), self.reader.started), (1, True))

    def test_body_without_length_ends_with_the_connection(self):
        self.reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
        self.assertEqual(self.reader.responses, [])
        self.assertTrue(self.reader.end())
        self.assertEqual(self.reader.responses[0].body, b"abc")
        self.assertFalse(self.reader.keep_alive)

    def test_body_shorter_than_its_length_is_incomplete(self):
        self.reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
        self.assertFalse(self.reader.end())
        self.assertEqual(self.reader.responses, [])

    def test_truncated_chunked_body_is_incomplete(self):
        self.reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
        self.assertFalse(self.reader.end())

    def test_interim_responses_are_skipped(self):
        self.reader.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
        self.assertEqual([r.status for r in self.reader.responses], [204])

    def test_malformed_response_is_rejected(self):
        for data in (b"\x00\x01garbage\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"):
            with self.assertRaises(BadResponseError):
                ResponseReader().feed(data)

    def test_status_outside_100_to_599_is_no_answer(self):
        for status in (b"000", b"099", b"99", b"600", b"999", b"20", b"2000", b"+20", b"-20", b""):
            with self.subTest(status):
                reader = ResponseReader()
                with self.assertRaises(BadResponseError):
                    reader.feed(b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nhi" % status)
                self.assertEqual(reader.responses, [])

    def test_lowest_and_highest_status_are_answers(self):
        for status in (200, 599):
            reader = ResponseReader()
            reader.feed(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nhi" % status)
            self.assertEqual([res.status for res in reader.responses], [status])

    def test_connection_close_is_respected(self):
        self.reader.feed(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        self.assertFalse(self.reader.keep_alive)


class RequestReaderTest(unittest.TestCase):
    def setUp(self):
        self.reader = RequestReader(limits=LIMITS)

    def fault(self, data: bytes) -> Fault:
        with self.assertRaises(RequestFaultError) as caught:
            self.reader.feed(data)
        return caught.exception.fault

    def test_consecutive_requests(self):
        self.reader.feed(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHo")
        self.reader.feed(b"st: h\r\nContent-Length: 3\r\n\r\nxyz")
        seen = [(r.head.method, r.head.target, r.body) for r in self.reader.requests]
        self.assertEqual(seen, [(b"GET", b"/a", b""), (b"POST", b"/b", b"xyz")])
        self.assertFalse(self.reader.started)

    def test_chunked_body(self):
        self.reader.feed(b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.reader.feed(b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        self.assertEqual(self.reader.requests[0].body, b"abc")

    def test_request_with_length_and_chunked_encoding_is_rejected(self):
        data = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(self.fault(data), Fault.MALFORMED)

    def test_request_with_two_lengths_is_rejected(self):
        data = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc"
        self.assertEqual(self.fault(data), Fault.MALFORMED)

    def test_limits(self):
        self.assertEqual(self.fault(b"GET / HTTP/1.1\r\nX: " + b"a" * 400), Fault.HEADERS_TOO_LARGE)
        self.setUp()
        data = b"POST / HTTP/1.1\r\nContent-Length: 51\r\n\r\n" + b"a" * 51
        self.assertEqual(self.fault(data), Fault.BODY_TOO_LARGE)

    def test_announced_body_over_the_limit_is_rejected_before_it_comes(self):
        for length, fault in (
            (b"51", Fault.BODY_TOO_LARGE),
            (b"000051", Fault.BODY_TOO_LARGE),
            (b"99999999999999999", Fault.BODY_TOO_LARGE),
            (b"9" * 40, Fault.MALFORMED),
            (b"+51", Fault.MALFORMED),
            (b"5 1", Fault.MALFORMED),
            (b"0x51", Fault.MALFORMED),
        ):
            with self.subTest(length):
                self.setUp()
                data = b"POST / HTTP/1.1\r\nContent-Length: %s\r\n\r\n" % length
                self.assertEqual(self.fault(data), fault)
        self.setUp()
        self.reader.feed(b"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\n")
        self.assertTrue(self.reader.in_body)

    def test_state_of_an_incomplete_request(self):
        self.reader.feed(b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        self.assertTrue(self.reader.started and self.reader.headers_complete)
        self.assertTrue(self.reader.expects_continue)
        self.reader.feed(b"ab")
        self.assertEqual(len(self.reader.requests), 1)
        self.assertFalse(self.reader.expects_continue)


if __name__ == "__main__":
    unittest.main()
