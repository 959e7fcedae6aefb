from __future__ import annotations

import trio
import trio.testing

from returns.result import Success

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.exceptions import InvariantError
from cactussaddle_node.leafclient import LeafClient
from tests.node.leafclient.fakeleaf import HEALTH
from tests.node.leafclient.fakeleaf import echo
from tests.node.leafclient.fakeleaf import response
from tests.node.leafclient.pairs import PairTest
from tests.node.leafclient.pairs import request


class LeafClientTest(PairTest):
    def test_call_sends_id_route_deadline_snapshot_and_key(self):
        async def body(leaf, client):
            reply = await client.call(request(body=b'{"q":1}', key="k"), 4)
            self.assertEqual((reply.kind, reply.status, reply.body), (0, 200, b'{"q":1}'))
            headers = leaf.requests[0].headers
            self.assertEqual(headers["x-call-id"], "c1")
            self.assertEqual(headers["x-route"], "taller-search")
            self.assertEqual(headers["x-snapshot"], "7")
            self.assertEqual(headers["idempotency-key"], "k")
            self.assertLessEqual(int(headers["x-deadline-ms"]), 1000)
            self.assertGreater(reply.connect_s, 0)
            again = await client.call(request(), 4)
            self.assertEqual((again.connect_s, leaf.accepted), (0.0, 1))

        self.run_pair(echo, body)

    def test_statuses_are_mapped_to_kinds(self):
        statuses = {
            200: CallOutcome.OK,
            409: CallOutcome.WRONG_SNAPSHOT,
            499: CallOutcome.CANCELLED,
            500: CallOutcome.FAILED,
            503: CallOutcome.SHED,
            504: CallOutcome.LATE,
        }

        async def answer(leaf, received, stream):
            return response(int(received.headers["x-route"]), retry_after="2")

        async def body(leaf, client):
            for status, kind in statuses.items():
                reply = await client.call(request()._replace(route=str(status)), 4)
                self.assertEqual((reply.kind, reply.status, reply.sent), (kind, status, True))
                self.assertEqual(reply.retry_after_s, 2.0)
            self.assertEqual((leaf.accepted, client.connections, client.idle), (1, 1, 1))

        self.run_pair(answer, body)

    def test_call_without_a_listener_is_refused_and_not_sent(self):
        async def main():
            async with LeafClient(address="127.0.0.1:9", local_host="127.0.0.1") as client:
                reply = await client.call(request(), 4)
                self.assertEqual((reply.kind, reply.sent), (CallOutcome.REFUSED, False))
                self.assertEqual(client.connections, 0)

        trio.run(main)

    def test_connection_closed_after_sending_is_reset(self):
        async def answer(leaf, received, stream):
            await stream.send_all(response(200, b"whole")[:-2])
            await stream.aclose()

        async def body(leaf, client):
            reply = await client.call(request(), 4)
            self.assertEqual((reply.kind, reply.sent, reply.body), (CallOutcome.RESET, True, b""))
            self.assertEqual(client.connections, 0)

        self.run_pair(answer, body)

    def test_connections_stay_within_the_limit(self):
        gate = trio.Event()

        async def answer(leaf, received, stream):
            await gate.wait()
            return await echo(leaf, received, stream)

        async def body(leaf, client):
            replies = []

            async def one(number):
                sent = request(f"c{number}", 5.0, b"%d" % number)
                reply = await client.call(sent, 4)
                replies.append((number, reply))

            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(one, number)
                while leaf.open < 3:
                    await trio.sleep(0.001)
                gate.set()
            for number, reply in replies:
                self.assertEqual((reply.kind, reply.body), (CallOutcome.OK, b"%d" % number))
            self.assertEqual((len(replies), leaf.max_open), (12, 3))
            await client.call(request("low"), 1)
            self.assertEqual((client.connections, client.idle), (1, 1))
            self.assertEqual(await client.close_idle(5), 1)
            self.assertEqual(client.connections, 0)

        self.run_pair(answer, body)

    def test_call_that_gets_no_connection_by_its_deadline_is_refused_and_not_sent(self):
        async def answer(leaf, received, stream):
            await trio.sleep_forever()

        async def body(leaf, client):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.call, request("first", 5.0), 1)
                while not leaf.requests:
                    await trio.sleep(0.001)
                reply = await client.call(request("second", 0.05), 1)
                self.assertEqual((reply.kind, reply.sent), (CallOutcome.REFUSED, False))
                self.assertEqual(len(leaf.requests), 1)
                nursery.cancel_scope.cancel()

        self.run_pair(answer, body)

    def test_cancelled_call_ends_with_the_response_of_the_leaf(self):
        async def answer(leaf, received, stream):
            if received.method == "DELETE":
                leaf.cancelled[received.target.rpartition("/")[2]].set()
                return response(204, b"")
            leaf.cancelled[received.headers["x-call-id"]] = trio.Event()
            await leaf.cancelled[received.headers["x-call-id"]].wait()
            return response(499)

        async def body(leaf, client):
            async def canceller():
                while "c1" not in leaf.cancelled:
                    await trio.sleep(0.001)
                await client.cancel("c1")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(canceller)
                reply = await client.call(request(deadline_s=5.0), 4)
            self.assertEqual((reply.kind, reply.status), (CallOutcome.CANCELLED, 499))
            self.assertEqual((leaf.max_open, client.idle), (2, 2))

        self.run_pair(answer, body)

    def test_cancel_ignored_by_the_leaf_closes_the_connection(self):
        async def answer(leaf, received, stream):
            if received.method == "DELETE":
                return response(404, b"")
            await trio.sleep_forever()

        async def body(leaf, client):
            async def canceller():
                while not leaf.requests:
                    await trio.sleep(0.001)
                await client.cancel("c1")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(canceller)
                reply = await client.call(request(deadline_s=30.0), 4)
            self.assertEqual((reply.kind, reply.sent), (CallOutcome.CANCELLED, True))
            self.assertLess(reply.latency_s, 2.0)
            self.assertEqual((client.connections, client.idle), (1, 1))

        self.run_pair(answer, body)

    def test_end_of_a_cancelled_call_on_a_silent_connection_is_confirmed_on_a_new_one(self):
        silent_up_to = [0]

        async def answer(leaf, received, stream):
            if received.conn_id <= silent_up_to[0]:
                await trio.sleep_forever()
            if received.method == "DELETE":
                return response(404, b"")
            return await echo(leaf, received, stream)

        async def body(leaf, client):
            await client.warm(2, 4)
            silent_up_to[0] = leaf.accepted

            async def canceller():
                while not leaf.requests:
                    await trio.sleep(0.001)
                await client.cancel("c1")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(canceller)
                reply = await client.call(request(deadline_s=5.0), 4)
            self.assertEqual((reply.kind, reply.ended), (CallOutcome.CANCELLED, True))
            self.assertLess(reply.latency_s, 2.0)
            self.assertEqual(leaf.requests[-1].conn_id, 3)

        self.run_pair(answer, body)

    def test_unsolicited_bytes_are_never_used_as_a_response(self):
        async def answer(leaf, received, stream):
            await stream.send_all(response(200, received.body) + response(200, b"stray"))

        async def body(leaf, client):
            first = await client.call(request("c1", body=b"1"), 4)
            second = await client.call(request("c2", body=b"2"), 4)
            self.assertEqual((first.body, second.body), (b"1", b"2"))
            self.assertEqual(leaf.accepted, 2)

        self.run_pair(answer, body)

    def test_response_with_the_id_of_another_call_is_dropped(self):
        async def answer(leaf, received, stream):
            return response(200, b"{}", x_call_id="other")

        async def body(leaf, client):
            reply = await client.call(request(), 4)
            self.assertEqual((reply.kind, reply.body), (CallOutcome.RESET, b""))
            self.assertEqual(client.connections, 0)

        self.run_pair(answer, body)

    def test_connection_of_a_cancelled_task_is_not_reused(self):
        async def answer(leaf, received, stream):
            await trio.sleep(0.1)
            return await echo(leaf, received, stream)

        async def body(leaf, client):
            with trio.move_on_after(0.02):
                await client.call(request("c1", body=b"1"), 4)
            self.assertEqual((client.connections, client.active), (0, 0))
            reply = await client.call(request("c2", body=b"2"), 4)
            self.assertEqual(reply.body, b"2")

        self.run_pair(answer, body)

    def test_concurrent_calls_with_the_same_id_are_a_breach(self):
        async def answer(leaf, received, stream):
            await trio.sleep_forever()

        async def body(leaf, client):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.call, request("c1", 5.0), 4)
                while not leaf.requests:
                    await trio.sleep(0.001)
                with self.assertRaises(InvariantError):
                    await client.call(request("c1"), 4)
                nursery.cancel_scope.cancel()

        self.run_pair(answer, body)

    def test_warm_opens_connections_up_to_the_limit(self):
        async def body(leaf, client):
            self.assertEqual(await client.warm(2, 4), 2)
            self.assertEqual(await client.warm(9, 4), 4)
            reply = await client.call(request(), 4)
            self.assertEqual((reply.connect_s, client.connections), (0.0, 4))

        self.run_pair(echo, body)

    def test_health_is_parsed(self):
        async def answer(leaf, received, stream):
            return response(200, HEALTH if received.target == "/health" else b"no")

        async def body(leaf, client):
            report = await client.health()
            self.assertIsInstance(report, Success)
            health = report.unwrap()
            self.assertEqual(
                (health.status, health.incarnation, health.version), ("ready", "i1", "v1")
            )
            self.assertEqual(health.snapshots, ((7, 2, (0,)),))

        self.run_pair(answer, body)
