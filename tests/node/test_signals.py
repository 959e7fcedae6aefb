from __future__ import annotations

import os
import signal
import time
import unittest

from cactussaddle_node.signals import HANDLED_SIGNALS
from cactussaddle_node.signals import SignalInbox


class SignalInboxTest(unittest.TestCase):
    def setUp(self) -> None:
        for number in HANDLED_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.inbox = SignalInbox()
        self.inbox.install()

    def test_signals_are_kept_in_order_with_the_time_of_their_arrival(self) -> None:
        began = time.monotonic()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            os.kill(os.getpid(), number)
        ended = time.monotonic()
        received = []
        while (oldest := self.inbox.oldest()) is not None:
            received.append(oldest)
            self.inbox.remove_oldest()
        numbers = [one.number for one in received]
        self.assertEqual(numbers, [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP])
        self.assertTrue(all(began <= one.at <= ended for one in received))

    def test_a_signal_whose_handling_fails_is_forgotten(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        first = self.inbox.oldest()
        self.assertIsNotNone(first)
        self.assertIs(self.inbox.oldest(), first)

    def test_a_signal_knows_when_the_process_last_ran(self) -> None:
        before = time.monotonic()
        os.kill(os.getpid(), signal.SIGHUP)
        self.inbox.record_run()
        os.kill(os.getpid(), signal.SIGHUP)
        ran_at = [one.ran_at for one in self.inbox._received]
        self.assertLess(ran_at[0], before)
        self.assertGreater(ran_at[1], before)

    def test_who_waits_is_told_of_each_signal(self) -> None:
        told: list[int] = []
        self.inbox.notify(lambda: told.append(1))
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGINT)
        self.inbox.notify(None)
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual(len(told), 2)


if __name__ == "__main__":
    unittest.main()
