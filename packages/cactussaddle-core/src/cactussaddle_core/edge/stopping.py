"""Graceful shutdown: leave the load balancer, keep serving, and exit before the grace period ends."""

from __future__ import annotations

import enum
import math

# The load balancer checks readiness every second and drops a node after two failures.
BALANCER_DRAIN_S = 2.6
# The process exits this long before it would be killed.
EXIT_MARGIN_S = 0.7
# Requests still open this long before the exit get a final answer, which takes a moment to send.
ABORT_MARGIN_S = 0.15


# Interval of the log lines that tell of the progress.
PROGRESS_INTERVAL_S = 0.5


class StopPhase(enum.StrEnum):
    """The phases of a shutdown, in order."""

    SERVING = "serving"
    CLOSING = "closing"
    GIVING_UP = "giving up"


class GracefulStop:
    """The deadlines of a shutdown; all are infinite until one is requested."""

    def __init__(self) -> None:
        self.asked = False
        self.asked_at = math.inf
        self.progress_at = math.inf
        self.close_at = math.inf
        self.end_at = math.inf

    def request(self, grace_s: float, now: float) -> None:
        """Start the shutdown; later requests have no effect."""
        if self.asked:
            return
        self.asked = True
        self.asked_at = now
        self.progress_at = now + PROGRESS_INTERVAL_S
        self.close_at = now + min(BALANCER_DRAIN_S, grace_s / 2.0)
        self.end_at = now + max(0.0, grace_s - EXIT_MARGIN_S)

    def take_progress_due(self, now: float) -> bool:
        """Return whether a line about the progress is due, once an interval."""
        if now < self.progress_at:
            return False
        self.progress_at = now + PROGRESS_INTERVAL_S
        return True

    def phase(self, now: float) -> StopPhase:
        """Return the phase of a shutdown that has been requested."""
        if self.must_give_up(now):
            return StopPhase.GIVING_UP
        return StopPhase.CLOSING if self.is_closing(now) else StopPhase.SERVING

    def is_closing(self, now: float) -> bool:
        """Return whether callers are to be sent to other nodes."""
        return now >= self.close_at

    def must_give_up(self, now: float) -> bool:
        """Return whether open requests must be given up."""
        return now >= self.end_at - ABORT_MARGIN_S

    def may_exit(self, requests: int, now: float) -> bool:
        """Return whether the process may exit: no requests are open, or the grace period is over."""
        return self.is_closing(now) and (requests == 0 or self.grace_expired(now))

    def grace_expired(self, now: float) -> bool:
        """Return whether the process must exit regardless of open requests."""
        return now >= self.end_at
