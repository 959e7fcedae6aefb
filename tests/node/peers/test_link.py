from __future__ import annotations

import unittest

from cactussaddle_core import wire
from cactussaddle_core.slots.messages import PairPong
from cactussaddle_core.wire import LinkPing
from cactussaddle_node.peers.link import SILENCE_TIMEOUT_S
from cactussaddle_node.peers.link import UNUSED_TIMEOUT_S
from cactussaddle_node.peers.link import Link


class LinkTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.received: list[object] = []
        self.link = Link(
            node="peer",
            accepted=False,
            hello=wire.Hello("me", 1, "127.0.0.1:1"),
            clock=lambda: self.now,
            on_message=lambda node, message, link: self.received.append(message),
        )

    def pings(self):
        return [item for item in self.link._outbox if isinstance(item, LinkPing)]

    def receive(self):
        self.link._record_receipt()

    def test_request_without_a_response_is_followed_by_a_ping(self):
        self.link.send(wire.DocRequest("config", 1))
        self.link.check(self.now)
        self.assertEqual(len(self.pings()), 1)

    def test_response_is_not_followed_by_a_ping(self):
        self.receive()
        self.now += 0.1
        self.link.send(PairPong(1, 1, 1, True, False, ()))
        self.link.check(self.now)
        self.assertEqual(self.pings(), [])

    def test_link_ends_after_the_unused_timeout(self):
        self.receive()
        self.now += UNUSED_TIMEOUT_S - 1.0
        self.link.check(self.now)
        self.assertFalse(self.link._expired.is_set())
        self.now += 2.0
        self.link.check(self.now)
        self.assertTrue(self.link._expired.is_set())

    def test_idle_link_without_outstanding_requests_sends_no_pings(self):
        self.now += 1.0
        self.receive()
        for _ in range(20):
            self.now += 0.5
            self.link.check(self.now)
        self.assertEqual(self.pings(), [])
        self.assertFalse(self.link.silent(self.now))

    def test_silence_is_detected_after_its_timeout_and_any_message_resets_it(self):
        self.link.send(wire.DocRequest("config", 1))
        self.link.check(self.now)
        self.now += SILENCE_TIMEOUT_S / 2
        self.receive()
        self.now += SILENCE_TIMEOUT_S
        self.assertFalse(self.link.silent(self.now))
        self.link.send(wire.DocRequest("config", 1))
        self.link.check(self.now)
        self.now += SILENCE_TIMEOUT_S + 0.1
        self.link.check(self.now)
        self.assertTrue(self.link._expired.is_set())

    def test_full_outbox_rejects_messages(self):
        while self.link.send(wire.DocRequest("config", 1)):
            pass
        self.assertFalse(self.link.send(wire.DocRequest("config", 1)))
