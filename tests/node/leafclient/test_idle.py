from __future__ import annotations

import socket
import struct

from unittest import mock

import trio
import trio.testing

from cactussaddle_core.calls import CallOutcome
from cactussaddle_node.leafclient import NO_HOOKS
from cactussaddle_node.leafclient import IdleEnd
from tests.node.leafclient.fakeleaf import echo
from tests.node.leafclient.pairs import PairTest
from tests.node.leafclient.pairs import request


class IdleTest(PairTest):
    def test_idle_connection_closed_by_the_leaf_is_not_reused(self):
        streams = []

        async def answer(leaf, received, stream):
            streams.append(stream)
            return await echo(leaf, received, stream)

        async def body(leaf, client):
            await client.call(request(), 4)
            await streams[0].aclose()
            reply = await client.call(request(), 4)
            self.assertEqual((reply.kind, leaf.accepted), (CallOutcome.OK, 2))

        self.run_pair(answer, body)

    def test_watch_reports_the_end_of_an_idle_connection_before_the_next_call(self):
        ends: list[IdleEnd] = []

        async def answer(leaf, received, stream):
            leaf.stream = stream
            return await echo(leaf, received, stream)

        async def body(leaf, client):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.watch_idle)
                for reset in (True, False):
                    await client.call(request(), 4)
                    await trio.sleep(0.3)
                    if reset:
                        linger = struct.pack("ii", 1, 0)
                        leaf.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    await trio.aclose_forcefully(leaf.stream)
                    await trio.sleep(0.1)
                self.assertEqual(client.connections, 0)
                await client.call(request(), 4)
                nursery.cancel_scope.cancel()

        self.run_pair(answer, body, hooks=NO_HOOKS._replace(idle_ended=ends.append))
        self.assertEqual(ends, [IdleEnd.RESET, IdleEnd.CLOSED])

    def test_end_is_reported_at_the_next_use_without_the_watch(self):
        ends: list[IdleEnd] = []

        async def answer(leaf, received, stream):
            leaf.stream = stream
            return await echo(leaf, received, stream)

        async def body(leaf, client):
            await client.call(request(), 4)
            await trio.aclose_forcefully(leaf.stream)
            await trio.sleep(0.01)
            self.assertEqual((await client.call(request(), 4)).kind, CallOutcome.OK)

        self.run_pair(answer, body, hooks=NO_HOOKS._replace(idle_ended=ends.append))
        self.assertEqual(ends, [IdleEnd.CLOSED])

    def test_idle_connections_may_be_closed_while_an_ended_one_is_dropped(self):
        streams = []

        async def answer(leaf, received, stream):
            streams.append(stream)
            await trio.sleep(0.05)
            return await echo(leaf, received, stream)

        async def body(leaf, client):
            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(client.call, request(f"c{number}"), 8)
            self.assertEqual(client.idle, 3)
            pool = client._pool
            close = pool._close

            async def close_all(conn):
                await close(conn)
                await pool.close_idle(8)

            for stream in streams:
                await trio.aclose_forcefully(stream)
            await trio.sleep(0.05)
            with mock.patch.object(pool, "_close", close_all):
                await pool._drop_ended()
            self.assertEqual(client.connections, 0)

        self.run_pair(answer, body)

    def test_each_connection_needs_permission_and_is_counted_until_closed(self):
        counted = [0, 0]

        def may_open():
            if counted[0] == 2:
                return False
            counted[0] += 1
            counted[1] = max(counted)
            return True

        def closed():
            counted[0] -= 1

        async def body(leaf, client):
            with trio.CancelScope() as scope:
                async with client:
                    await client.warm(4, 8)
                    self.assertEqual((client.connections, counted), (2, [2, 2]))
                    await client.set_limit(1)
                    self.assertEqual((client.connections, counted[0]), (1, 1))
                    await client.warm(4, 8)
                    scope.cancel()
                    await trio.sleep_forever()
            self.assertEqual((client.connections, counted[0]), (0, 0))

        self.run_pair(echo, body, hooks=NO_HOOKS._replace(may_open=may_open, closed=closed))
