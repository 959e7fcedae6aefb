from __future__ import annotations

import unittest

import trio
import trio.testing

from returns.result import Success

from cactussaddle_core.calls import CallOutcome
from cactussaddle_node.leafclient import LeafClient
from cactussaddle_node.leafclient import ProbeResult
from cactussaddle_node.leafclient.client import INITIAL_TYPICAL_LATENCY_S
from cactussaddle_node.leafclient.client import SUSPECT_FACTOR
from cactussaddle_node.leafclient.control import IDLE_CHECK_TIMEOUT_S
from tests.node.leafclient.fakeleaf import HEALTH
from tests.node.leafclient.fakeleaf import FakeLeaf
from tests.node.leafclient.fakeleaf import echo
from tests.node.leafclient.fakeleaf import response
from tests.node.leafclient.pairs import pair
from tests.node.leafclient.pairs import request

INITIAL_SUSPECT_S = SUSPECT_FACTOR * INITIAL_TYPICAL_LATENCY_S
CALL_INTERVAL_S = 0.06


class SilenceTest(unittest.TestCase):
    def silence(self, health):
        async def answer(leaf, received, stream):
            if received.target == "/health" and health:
                return response(200, HEALTH)
            if received.body == b"quick":
                return await echo(leaf, received, stream)
            await trio.sleep_forever()

        async def main():
            with trio.fail_after(10):
                async with pair(answer, silent_grace_s=0.05) as (leaf, client):
                    await client.call(request(body=b"quick"), 4)
                    reply = await client.call(request(deadline_s=0.05), 4)
                    again = await client.call(request(body=b"quick"), 4)
                    return reply, again, leaf.accepted

        return trio.run(main)

    def test_silent_connection_to_a_working_server(self):
        reply, again, accepted = self.silence(health=True)
        self.assertEqual(
            (reply.kind, reply.sent, reply.probe),
            (CallOutcome.SILENT, True, ProbeResult.SERVER_ANSWERS),
        )
        self.assertEqual((again.kind, accepted), (CallOutcome.OK, 2))

    def test_silent_server(self):
        reply, again, _ = self.silence(health=False)
        self.assertEqual((reply.kind, reply.probe), (CallOutcome.SILENT, ProbeResult.SERVER_SILENT))
        self.assertEqual(again.kind, CallOutcome.OK)


class MovedCallTest(unittest.TestCase):
    """All existing connections have gone silent while new ones work."""

    def run_case(self, key=None, silent=True, slow_s=0.0, warm=3):
        silent_up_to = [0]

        async def answer(leaf, received, stream):
            if received.conn_id <= silent_up_to[0]:
                await trio.sleep_forever()
            if received.method == "DELETE":
                return response(404, b"")
            if received.target == "/health":
                return response(200, HEALTH)
            await trio.sleep(slow_s)
            return await echo(leaf, received, stream)

        async def main():
            with trio.fail_after(10):
                async with pair(answer, silent_grace_s=0.05) as (leaf, client):
                    await client.warm(warm, 8)
                    await client.call(request(body=b"first"), 8)
                    before = len(leaf.requests)
                    if silent:
                        silent_up_to[0] = leaf.accepted
                    reply = await client.call(request("c2", 1.0, b"second", key), 8)
                    return reply, [s.method for s in leaf.requests[before:]], leaf.accepted

        return trio.run(main)

    def test_idempotent_call_is_moved_after_the_leaf_confirms_its_end(self):
        reply, methods, _ = self.run_case()
        self.assertEqual((reply.kind, reply.body), (CallOutcome.OK, b"second"))
        self.assertEqual((reply.sent, reply.probe), (True, ProbeResult.SERVER_ANSWERS))
        self.assertEqual(methods, ["POST", "GET", "DELETE", "POST"])

    def test_call_on_the_only_connection_is_moved_without_a_health_check(self):
        reply, methods, _ = self.run_case(warm=0)
        self.assertEqual((reply.kind, reply.body), (CallOutcome.OK, b"second"))
        self.assertEqual(methods, ["POST", "DELETE", "POST"])

    def test_non_idempotent_call_is_never_sent_twice(self):
        reply, methods, _ = self.run_case(key="k")
        self.assertEqual((reply.kind, reply.sent), (CallOutcome.SILENT, True))
        self.assertEqual(methods.count("POST"), 1)

    def test_slow_call_stays_on_its_connection(self):
        reply, methods, accepted = self.run_case(silent=False, slow_s=0.3)
        self.assertEqual((reply.kind, reply.probe), (CallOutcome.OK, ProbeResult.NOT_TRIED))
        self.assertEqual((methods, accepted), (["POST", "GET"], 3))

    def run_two(self, warm):
        """Start two calls, `CALL_INTERVAL_S` apart, and return their latencies, longest first.

        All connections that were open before are silent.
        """
        silent_up_to = [0]

        async def answer(leaf, received, stream):
            if received.conn_id <= silent_up_to[0]:
                await trio.sleep_forever()
            if received.method == "DELETE":
                return response(404, b"")
            if received.target == "/health":
                return response(200, HEALTH)
            return await echo(leaf, received, stream)

        async def main():
            async with trio.open_nursery() as nursery:
                leaf = FakeLeaf(answer=answer)

                async def connect():
                    mine, theirs = trio.testing.memory_stream_pair()
                    nursery.start_soon(leaf.serve_connection, theirs)
                    return mine

                async with LeafClient(address="leaf:1", local_host="", connect=connect) as client:
                    await client.warm(warm, 8)
                    silent_up_to[0] = warm
                    took = []

                    async def one(number):
                        started = trio.current_time()
                        reply = await client.call(request(f"c{number}", 2.0), 8)
                        self.assertEqual(reply.kind, CallOutcome.OK)
                        took.append(trio.current_time() - started)

                    async with trio.open_nursery() as calls:
                        calls.start_soon(one, 1)
                        await trio.sleep(CALL_INTERVAL_S)
                        calls.start_soon(one, 2)
                nursery.cancel_scope.cancel()
                return sorted(took, reverse=True)

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_calls_in_progress_are_moved_together_when_silence_is_detected(self):
        first, second = self.run_two(warm=3)
        detected_s = INITIAL_SUSPECT_S + IDLE_CHECK_TIMEOUT_S
        self.assertAlmostEqual(first, detected_s)
        self.assertAlmostEqual(second, detected_s - CALL_INTERVAL_S)

    def test_two_late_calls_reveal_silence_without_an_idle_connection(self):
        first, second = self.run_two(warm=2)
        self.assertAlmostEqual(first, INITIAL_SUSPECT_S + CALL_INTERVAL_S)
        self.assertAlmostEqual(second, INITIAL_SUSPECT_S)

    def test_health_request_on_a_silent_idle_connection_is_repeated_on_a_new_one(self):
        silent_up_to = [0]

        async def answer(leaf, received, stream):
            if received.conn_id <= silent_up_to[0]:
                await trio.sleep_forever()
            return response(200, HEALTH)

        async def main():
            with trio.fail_after(10):
                async with pair(answer) as (leaf, client):
                    await client.warm(3, 8)
                    silent_up_to[0] = leaf.accepted
                    report = await client.health()
                    return report, leaf.accepted, client.connections

        report, accepted, connections = trio.run(main)
        self.assertIsInstance(report, Success)
        self.assertEqual((accepted, connections), (4, 1))


class BoundsTest(unittest.TestCase):
    """Time limits of calls, measured on a virtual clock over memory streams."""

    def silent_server(self, key):
        async def connect():
            mine, _ = trio.testing.memory_stream_pair()
            return mine

        async def main():
            async with LeafClient(
                address="leaf:1", local_host="", silent_grace_s=0.1, connect=connect
            ) as client:
                start = trio.current_time()
                reply = await client.call(request(deadline_s=2.0, key=key), 4)
                return reply, trio.current_time() - start

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_silent_call_ends_after_its_deadline_and_grace_period(self):
        reply, took = self.silent_server("k")
        self.assertEqual((reply.kind, reply.probe), (CallOutcome.SILENT, ProbeResult.SERVER_SILENT))
        self.assertAlmostEqual(reply.latency_s, 2.1)
        self.assertAlmostEqual(took, 2.6)

    def test_call_to_an_unreachable_leaf_ends_only_when_it_can_no_longer_run(self):
        reply, took = self.silent_server(None)
        self.assertEqual((reply.kind, reply.probe), (CallOutcome.SILENT, ProbeResult.SERVER_SILENT))
        self.assertAlmostEqual(reply.latency_s, 2.1)
        self.assertAlmostEqual(took, 2.1)

    def test_connection_attempt_is_bounded(self):
        async def main():
            async with LeafClient(
                address="leaf:1", local_host="", connect_timeout_s=0.3, connect=trio.sleep_forever
            ) as client:
                start = trio.current_time()
                reply = await client.call(request(deadline_s=2.0), 4)
                return reply, trio.current_time() - start, client.connections

        reply, took, connections = trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        self.assertEqual((reply.kind, reply.sent), (CallOutcome.REFUSED, False))
        self.assertAlmostEqual(took, 0.3)
        self.assertEqual(connections, 0)
