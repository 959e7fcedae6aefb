"""Measures this node's own event loop lag, so that it isn't attributed to the leaves.

A busy node opens connections late and is late to read answers that arrived in time. Its timers are
late by the same amount, and of the calls that wait for a connection some are sent all the time.
"""

from __future__ import annotations

import math

LAG_HALF_LIFE_S = 0.25
# At least this many calls must wait for a connection before this node can be the cause of the wait.
MIN_UNSENT = 4
# While calls are sent at least this often, the node is still working through its backlog.
MAX_SEND_GAP_S = 0.02


class LoopLag:
    """Decaying maximum of this node's timer lag, and the calls that have not been sent yet."""

    def __init__(self) -> None:
        self.unsent: set[int] = set()
        self._lag_s = 0.0
        self._lag_at = 0.0
        self._sent_at = -math.inf

    def record_lag(self, lag_s: float, now: float) -> None:
        """Record how late a timer fired."""
        self._lag_s = max(lag_s, self.lag_s(now))
        self._lag_at = now

    def lag_s(self, now: float) -> float:
        """Return the recent lag of this node."""
        if self._lag_s <= 0.0:
            return 0.0
        aged = max(0.0, now - self._lag_at) / LAG_HALF_LIFE_S
        return self._lag_s * math.pow(0.5, aged)

    def call_queued(self, call_id: int) -> None:
        """Record a call that waits for its connection."""
        self.unsent.add(call_id)

    def call_sent(self, call_id: int, now: float) -> None:
        """Record that a call's request has been sent."""
        if call_id in self.unsent:
            self.unsent.discard(call_id)
            self._sent_at = now

    def call_ended(self, call_id: int) -> None:
        """Record that a call has ended, whether or not it was sent."""
        self.unsent.discard(call_id)

    def is_sending(self, now: float) -> bool:
        """Return whether the node is still sending a backlog of calls that wait for a connection."""
        sent_recently = now - self._sent_at < MAX_SEND_GAP_S + self.lag_s(now)
        return sent_recently and len(self.unsent) >= MIN_UNSENT
