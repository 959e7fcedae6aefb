"""A graceful shutdown: leave the balancer first, serve on, then end before the grace is over."""

from __future__ import annotations

import math

# The balancer asks each second and leaves a node alone after two refusals.
LEAVE_BALANCER_S = 2.6
# The process ends this long before it would be killed.
END_SPARE_S = 0.7
# What is still in hand this long before the end gets its last answer, which takes a moment to leave.
GIVE_UP_SPARE_S = 0.15


class Stopping:
    """The times of a shutdown; all infinite while none is asked for."""

    def __init__(self) -> None:
        self.asked = False
        self.close_at = math.inf
        self.end_at = math.inf

    def ask(self, grace_s: float, now: float) -> None:
        """Begin the shutdown; asked again, the first one stands."""
        if self.asked:
            return
        self.asked = True
        self.close_at = now + min(LEAVE_BALANCER_S, grace_s / 2.0)
        self.end_at = now + max(0.0, grace_s - END_SPARE_S)

    def closing(self, now: float) -> bool:
        """Return whether callers are to be sent to other nodes."""
        return now >= self.close_at

    def gives_up(self, now: float) -> bool:
        """Return whether requests in hand can be awaited no longer."""
        return now >= self.end_at - GIVE_UP_SPARE_S

    def may_end(self, requests: int, now: float) -> bool:
        """Return whether the process may end: nothing is in hand, or the time is over."""
        return self.closing(now) and (requests == 0 or self.time_over(now))

    def time_over(self, now: float) -> bool:
        """Return whether the process has to end whatever is in hand."""
        return now >= self.end_at
