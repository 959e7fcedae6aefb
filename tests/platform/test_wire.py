from __future__ import annotations

import unittest

from typing import Any

from cactussaddle_common.http.message import RequestHead
from cactussaddle_common.http.message import Response
from cactussaddle_core.codes import ResultCode
from cactussaddle_core.fanout.effects import Declined
from cactussaddle_core.fanout.effects import Merged
from cactussaddle_core.fanout.effects import Relayed
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fanout.model import LeafReply
from cactussaddle_core.fleet.leaf import Leaf
from cactussaddle_core.fleet.model import LeafNotice
from cactussaddle_core.fleet.model import Load
from cactussaddle_core.fleet.probeplan import ProbePlan
from cactussaddle_platform import callers
from cactussaddle_platform import leaves
from tests.core.edge.world import entry

HEADERS = (
    (b"Host", b"Leno12.example:80"),
    (b"Request-Id", b"9c41"),
    (b"Deadline-Ms", b"1000"),
    (b"X-Own", b"kept"),
    (b"Connection", b"close, X-Hop"),
    (b"X-Hop", b"dropped"),
    (b"Transfer-Encoding", b"chunked"),
    (b"Target-Instance", b"forged"),
)
NO_QUERY: Any = None
LEAF = Leaf(entry=entry("s0", "north"), probes=ProbePlan(), now=0.0)


def decoded(headers=HEADERS, body: bytes = b"") -> Any:
    return callers.decode_request(7, RequestHead(b"POST", b"/a/b?q=1", headers), body)


def response(status: int = 200, body: bytes = b"x" * 16, **headers: bytes) -> Response:
    named = tuple((name.replace("_", "-").encode(), value) for name, value in headers.items())
    return Response(status, named, body)


class RequestTest(unittest.TestCase):
    def test_a_request_is_decoded(self):
        request = decoded(body=b"abc")
        self.assertEqual((request.host, request.request_id), ("leno12.example", "9c41"))
        self.assertEqual((request.timeout_s, request.body), (1.0, b"abc"))

    def test_a_request_without_exactly_one_host_or_with_an_invalid_deadline_is_malformed(self):
        self.assertIsInstance(decoded(HEADERS[1:]), str)
        self.assertIsInstance(decoded((*HEADERS, (b"host", b"other"))), str)
        self.assertIsInstance(decoded((HEADERS[0], (b"Deadline-Ms", b"soon"))), str)

    def test_a_call_forwards_all_but_connection_headers(self):
        data = leaves.encode_call(decoded(body=b"abc"), LEAF, 0.5)
        head, end, behind = data.partition(b"\r\n\r\n")
        # The body goes behind it (tests.node.edge.test_leafcaller).
        self.assertEqual((end, behind), (b"\r\n\r\n", b""))
        self.assertTrue(head.startswith(b"POST /a/b?q=1 HTTP/1.1\r\n"))
        self.assertIn(b"\r\nRequest-Id: 9c41", head)
        self.assertIn(b"\r\nX-Own: kept", head)
        self.assertIn(b"\r\nContent-Length: 3", head)
        self.assertEqual(head.count(b"Deadline-Ms"), 1)
        self.assertIn(b"Deadline-Ms: 500", head)
        self.assertEqual(head.count(b"Target-Instance"), 1)
        self.assertIn(b"Target-Instance: s0-north", head)
        for dropped in (b"X-Hop", b"Transfer-Encoding", b"close", b"forged"):
            self.assertNotIn(dropped, head)


class LeafAnswerTest(unittest.TestCase):
    def end(self, answer: Response):
        return leaves.decode_call_end(3, answer)

    def test_call_endings_by_status_and_headers(self):
        signed = {"server_stamp": b"sig"}
        for answer, ending in (
            (response(200, **signed), CallEnding.ANSWERED),
            (response(500, **signed), CallEnding.FAILED),
            (response(504, **signed), CallEnding.FAILED),
            (response(503, not_executed=b"1"), CallEnding.REFUSED),
            (response(429, not_executed=b"1"), CallEnding.REFUSED),
            (response(421), CallEnding.REFUSED),
            (response(421, not_executed=b"1", **signed), CallEnding.REFUSED),
            (response(421, **signed), CallEnding.FAILED),
            (response(503, **signed), CallEnding.FAILED),
            (response(200), CallEnding.BROKEN),
        ):
            self.assertIs(self.end(answer).ending, ending)
        self.assertTrue(self.end(response(421)).wrong_leaf)
        self.assertFalse(self.end(response(421, **signed)).wrong_leaf)

    def test_the_reported_load_is_decoded(self):
        self.assertEqual(self.end(response(server_load=b"3,1,8")).load, Load(3, 1, 8, None))
        self.assertIsNone(self.end(response(server_load=b"much")).load)

    def test_an_answer_to_a_call_is_no_health_answer(self):
        health = response(200, instance_id=b"i-7", server_load=b"0,0,4,100")
        self.assertTrue(leaves.is_health_answer(health))
        self.assertTrue(leaves.is_health_answer(response(503, instance_id=b"i-7")))
        self.assertFalse(leaves.is_health_answer(response(200, server_stamp=b"x")))
        late = response(200, instance_id=b"i-7", request_id=b"9c41")
        self.assertFalse(leaves.is_health_answer(late))
        # Another leaf at the address refuses a call, and names itself.
        self.assertFalse(leaves.is_health_answer(response(421, instance_id=b"i-8")))

    def test_only_a_probe_on_a_connection_of_its_own_closes_it(self):
        self.assertIn(b"Connection: close", leaves.encode_probe(LEAF, "/healthz"))
        self.assertNotIn(b"Connection", leaves.encode_probe(LEAF, "/healthz", kept=True))

    def test_a_fourth_figure_is_the_pace_of_the_host(self):
        self.assertEqual(self.end(response(server_load=b"3,1,8,250")).load, Load(3, 1, 8, 2.5))
        health = leaves.decode_health(response(server_load=b"0,0,4,50"), 0.01)
        self.assertEqual(health.load, Load(0, 0, 4, 0.5))

    def test_figures_beyond_the_fourth_are_ignored(self):
        self.assertEqual(self.end(response(server_load=b"3,1,8,250,x")).load, Load(3, 1, 8, 2.5))

    def test_a_report_whose_counts_cannot_be_used_is_ignored(self):
        bad = [b"", b"3", b"3,1", b"3,,8,100", b"-1,0,8,100", b"3,-1,8", b"3,1,-8,100"]
        bad += [b"3,1,9999999,100", b"9" * 400 + b",1,8,100", b"3,x,8,100", b"nan,0,4,100"]
        for value in bad:
            with self.subTest(value=value):
                self.assertIsNone(self.end(response(server_load=value)).load)

    def test_a_pace_that_cannot_be_used_counts_as_not_reported(self):
        for pace in (b"", b"0", b"-100", b"nan", b"inf", b"1e9", b"quick"):
            with self.subTest(pace=pace):
                load = self.end(response(server_load=b"3,1,8," + pace)).load
                self.assertEqual(load, Load(3, 1, 8, None))

    def test_a_named_limit_is_decoded(self):
        for status, more in (
            (200, {"server_stamp": b"s"}),
            (500, {}),
            (503, {"not_executed": b"1"}),
        ):
            end = self.end(response(status, server_limit=b"7.5", **more))
            self.assertEqual(end.notice, LeafNotice(limit_per_s=7.5))
        self.assertEqual(self.end(response(200, server_stamp=b"s")).notice, LeafNotice())
        self.assertIsNone(self.end(response(421, server_limit=b"7.5")).notice)
        health = leaves.decode_health(response(200, server_limit=b"3"), 0.01)
        self.assertEqual(health.notice, LeafNotice(limit_per_s=3.0))

    def test_a_leaf_that_says_that_it_leaves_is_decoded(self):
        answer = response(200, server_stamp=b"s", server_leaving=b"1")
        self.assertEqual(self.end(answer).notice, LeafNotice(leaving=True))
        self.assertEqual(
            self.end(response(200, server_stamp=b"s", server_leaving=b"0")).notice, LeafNotice()
        )
        health = leaves.decode_health(response(503, server_leaving=b"1"), 0.01)
        self.assertEqual(health.notice, LeafNotice(leaving=True))

    def test_a_pause_that_a_leaf_asks_for_is_decoded(self):
        refused = self.end(response(503, not_executed=b"1", retry_after=b"2.5"))
        self.assertEqual(
            (refused.ending, refused.notice), (CallEnding.REFUSED, LeafNotice(pause_s=2.5))
        )
        failed = self.end(response(503, server_stamp=b"s", retry_after=b"2.5"))
        self.assertEqual(failed.notice, LeafNotice(pause_s=2.5))
        self.assertEqual(self.end(response(503, retry_after=b"soon")).notice, LeafNotice())
        self.assertEqual(
            self.end(response(200, server_stamp=b"s", retry_after=b"9")).notice, LeafNotice()
        )

    def test_an_answer_to_another_request_is_detected_by_its_id(self):
        request = decoded()
        self.assertTrue(leaves.is_answer_to(request, response(request_id=b"9c41")))
        self.assertIsNone(leaves.is_answer_to(request, response()))
        self.assertFalse(leaves.is_answer_to(request, response(request_id=b"0000")))

    def test_health(self):
        health = leaves.decode_health(response(200, instance_id=b"i-7", cold_ms=b"1500"), 0.01)
        self.assertEqual((health.leaf, health.healthy, health.cold_left_s), ("i-7", True, 1.5))
        self.assertFalse(leaves.decode_health(response(503, instance_id=b"i-7"), 0.01).healthy)


class AnswerTest(unittest.TestCase):
    def test_a_merged_answer_names_its_parts(self):
        answer = callers.encode_merged(Merged(NO_QUERY, ("a", "b"), 1, b"r" * 32))
        self.assertEqual(dict(answer.headers)[b"Part-Stamps"], b"a, b")
        self.assertEqual(dict(answer.headers)[b"Missing-Parts"], b"1")
        self.assertEqual((answer.status, answer.body), (200, b"r" * 32))

    def test_a_leafs_answer_is_relayed_unchanged(self):
        headers = ((b"server-stamp", b"sig"), (b"keep-alive", b"timeout=5"))
        answer = callers.encode_relayed(Relayed(NO_QUERY, LeafReply(500, headers, b"why", "sig")))
        self.assertEqual((answer.status, answer.body), (500, b"why"))
        self.assertEqual(answer.headers, ((b"server-stamp", b"sig"),))

    def test_an_answer_to_head_announces_the_leafs_length(self):
        headers = ((b"server-stamp", b"sig"), (b"content-length", b"112"))
        reply = LeafReply(200, headers, b"", "sig")
        answer = callers.encode_relayed(Relayed(NO_QUERY, reply))
        self.assertEqual((answer.length_of_get, answer.headers), (112, (headers[0],)))

    def test_status_503_is_used_only_for_requests_that_have_not_run(self):
        for code, ran, status in (
            (ResultCode.NOT_RUN, False, 503),
            (ResultCode.NOT_CONFIGURED, False, 503),
            (ResultCode.OVERLOADED, False, 503),
            (ResultCode.INSUFFICIENT_COVERAGE, True, 502),
            (ResultCode.OUTCOME_UNKNOWN, True, 502),
            (ResultCode.DEADLINE_EXCEEDED, True, 504),
            (ResultCode.UNKNOWN_ROUTE, False, 404),
            (ResultCode.BAD_REQUEST, False, 400),
            (ResultCode.HELD, False, 503),
            (ResultCode.HELD, True, 502),
        ):
            declined = Declined(1, "r", code, "why", ran, 0.3 if not ran else 0.0)
            self.assertEqual(callers.encode_declined(declined).status, status, code)

    def test_a_request_that_has_not_run_gets_retry_after(self):
        declined = Declined(1, "r", ResultCode.NOT_RUN, "why", False, 0.25)
        self.assertEqual(dict(callers.encode_declined(declined).headers)[b"Retry-After"], b"0.250")


if __name__ == "__main__":
    unittest.main()
