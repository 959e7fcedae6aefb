"""Requests between nodes for the store's records, over real sockets."""

from __future__ import annotations

import unittest

from typing import Any

import trio

from returns.primitives.exceptions import UnwrapFailedError
from returns.result import Failure

from cactussaddle_core.spread.model import Batch
from cactussaddle_core.spread.model import Member
from cactussaddle_core.spread.model import Poll
from cactussaddle_core.spread.model import Record
from cactussaddle_node.edge.follow import Follower
from cactussaddle_node.edge.guard import TaskGuard
from cactussaddle_node.edge.listener import Listener
from cactussaddle_node.edge.peerwire import PeerClient
from cactussaddle_node.edge.peerwire import PeerServer
from cactussaddle_node.edge.peerwire import parse_revision
from cactussaddle_node.startup import listen
from tests.node.edge.connections import roomy_budget
from tests.node.edge.servers import served

# The times of the design (docs/design/records.md) plus this much for the machine.
SLACK_S = 0.3


def follower_with(revision: int) -> Follower:
    unused: Any = None
    follower = Follower(store=unused, peers=unused, decoder=unused, feed=lambda event: None)
    follower.log.replace([Record("a", b"1", revision)], revision)
    return follower


class PeerWireTest(unittest.TestCase):
    def test_an_answer_that_never_comes_is_missed_in_time(self):
        async def main():
            silent = served(lambda stream: trio.sleep_forever())
            async with silent as address, trio.open_nursery() as nursery:
                client = PeerClient(nursery=nursery, local_host="127.0.0.1")
                member = Member("n1", address.host, address.port, "d")
                began = trio.current_time()
                asked = await client.changes(member, Poll(3, 0.1, 0.2, 0.3))
                took_s = trio.current_time() - began
                nursery.cancel_scope.cancel()
            return asked, took_s

        asked, took_s = trio.run(main)
        self.assertIsInstance(asked, Failure)
        self.assertLess(took_s, 0.2 + 0.3 + SLACK_S)

    def test_a_revision_that_is_no_number_ends_the_exchange(self):
        for after in (b"--5", b"9" * 5000, b"", b"-7", b"x"):
            with self.subTest(after=after[:8]):
                self.assertIsNone(parse_revision(after))
        self.assertEqual((parse_revision(b"7"), parse_revision(b"-1")), (7, -1))

    def test_a_query_that_is_no_text_has_an_answer_also_behind_another_request(self):
        """The second message of a connection is started by a task of its own (review/9, LOST)."""
        statuses = {
            b"after=%ff": b"404",
            b"%ff": b"404",
            b"after=1&age=%e9&wait=0.1": b"200",
            b"after=1&wait=-5": b"200",
            b"after=1&age=-1": b"200",
        }
        for query, status in statuses.items():
            with self.subTest(query=query):
                second = b"GET /records?" + query + b" HTTP/1.1\r\n\r\n"
                told = self.talk(b"GET /none HTTP/1.1\r\n\r\n" + second)
                self.assertIn(b"HTTP/1.1 404", told)
                self.assertIn(b"HTTP/1.1 " + status, told.partition(b"no such page")[2])

    def talk(self, data: bytes) -> bytes:
        """Return what a node answers to two requests in one piece; no task of it may fail."""
        failed: list[str] = []

        async def main() -> bytes:
            async with trio.open_nursery() as nursery:
                guard = TaskGuard(report=lambda task, error, place: failed.append(error))
                server = PeerServer(follower=follower_with(7), nursery=nursery, guard=guard)
                sock = listen("127.0.0.1", 0)
                with Listener(
                    sock=sock,
                    nursery=nursery,
                    guard=guard,
                    hooks=server.hooks,
                    budget=roomy_budget(),
                    most=64,
                ) as listener:
                    nursery.start_soon(listener.accept)
                    stream = await trio.open_tcp_stream("127.0.0.1", sock.getsockname()[1])
                    await stream.send_all(data)
                    told = b""
                    with trio.move_on_after(3.0):
                        while told.count(b"HTTP/1.1 ") < 2:
                            told += await stream.receive_some() or b"HTTP/1.1 closed"
                    await stream.aclose()
                nursery.cancel_scope.cancel()
            return told

        told = trio.run(main)
        self.assertEqual(failed, [])
        return told

    def ask(self, follower: Follower, poll: Poll) -> tuple[Batch, float]:
        async def main():
            async with trio.open_nursery() as nursery:
                guard = TaskGuard(report=lambda task, error, place: self.fail(error))
                server = PeerServer(follower=follower, nursery=nursery, guard=guard)
                sock = listen("127.0.0.1", 0)
                listener = Listener(
                    sock=sock,
                    nursery=nursery,
                    guard=guard,
                    hooks=server.hooks,
                    budget=roomy_budget(),
                    most=100,
                )
                nursery.start_soon(listener.accept)
                follower.confirmed_at = trio.current_time()
                client = PeerClient(nursery=nursery, local_host="127.0.0.1")
                member = Member("n1", "127.0.0.1", sock.getsockname()[1], "d")
                began = trio.current_time()
                asked = await client.changes(member, poll)
                took_s = trio.current_time() - began
                nursery.cancel_scope.cancel()
            return asked.unwrap(), took_s

        return trio.run(main)

    def test_a_node_waits_longer_than_it_was_asked_to(self):
        batch, took_s = self.ask(follower_with(7), Poll(7, 0.0, 0.2, 0.6))
        self.assertLess(took_s, 0.2 + SLACK_S)
        self.assertEqual(batch.records, ())

    def test_the_wait_of_an_answer_counts_as_part_of_its_way(self):
        """Without it the asker takes the answer for as old as its request."""
        batch, _ = self.ask(follower_with(7), Poll(7, 0.0, 0.2, 0.6))
        self.assertGreaterEqual(batch.waited_s, 0.19)

    def test_a_node_of_an_earlier_era_gets_all_records_at_once(self):
        """Its revision may be given out again by then, so its number says nothing."""
        follower = follower_with(7)
        follower.log.era = 3
        batch, took_s = self.ask(follower, Poll(9, 0.0, 0.9, 0.6, era=2))
        self.assertLess(took_s, SLACK_S)
        self.assertEqual((batch.whole, batch.era, batch.revision), (True, 3, 7))

    def test_a_node_of_an_earlier_era_is_not_followed(self):
        follower = follower_with(7)
        follower.log.era = 3
        with self.assertRaises(UnwrapFailedError):
            self.ask(follower, Poll(5, 0.0, 0.2, 0.6, era=4))

    def test_changes_wait_for_the_end_of_the_time(self):
        batch, took_s = self.ask(follower_with(7), Poll(5, 0.0, 0.9, 0.6))
        self.assertLess(took_s, SLACK_S)
        self.assertTrue(batch.whole)
        self.assertLess(batch.waited_s, 0.1)


if __name__ == "__main__":
    unittest.main()
