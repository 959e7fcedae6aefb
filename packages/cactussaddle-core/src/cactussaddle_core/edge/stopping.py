"""Graceful shutdown: leave the load balancer, keep serving, and exit before the grace period ends."""

from __future__ import annotations

import math

# The load balancer checks readiness every second and drops a node after two failures.
BALANCER_DRAIN_S = 2.6
# The process exits this long before it would be killed.
EXIT_MARGIN_S = 0.7
# Requests still open this long before the exit get a final answer, which takes a moment to send.
ABORT_MARGIN_S = 0.15


class GracefulStop:
    """The deadlines of a shutdown; all are infinite until one is requested."""

    def __init__(self) -> None:
        self.asked = False
        self.close_at = math.inf
        self.end_at = math.inf

    def request(self, grace_s: float, now: float) -> None:
        """Start the shutdown; later requests have no effect."""
        if self.asked:
            return
        self.asked = True
        self.close_at = now + min(BALANCER_DRAIN_S, grace_s / 2.0)
        self.end_at = now + max(0.0, grace_s - EXIT_MARGIN_S)

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
