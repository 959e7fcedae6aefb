"""Deadlines of a graceful shutdown: leave the load balancer, serve on, and exit within the grace period.

Each deadline holds whatever callers do. The load balancer goes on sending callers to a stopping node
if it has too few others, so the node must not wait for them to stay away.
"""

from __future__ import annotations

import enum
import math

# The load balancer checks readiness every second and drops a node after two failures.
BALANCER_DRAIN_S = 2.6
# Open requests get a final answer this long before the end of the grace period, and later ones are
# refused; no more than this fraction of a short grace period.
GIVE_UP_MARGIN_S = 1.0
MAX_GIVE_UP_FRACTION = 0.25
# From then on, the fraction of the remaining time after which connections that are still in use end,
# and the one after which the process exits.
CLOSE_FRACTION = 0.25
EXIT_FRACTION = 0.5
# Interval of the log lines that tell of the progress.
PROGRESS_INTERVAL_S = 0.5


def longest_ago_s(waited_s: float, since_run_s: float, tick_interval_s: float) -> float:
    """Return how long ago a request to stop may have been made that has waited in this process.

    A process that is not running receives the request late, so it may have been made at any time since
    the process was last known to run, `since_run_s` ago, except for the usual interval of ticks.
    """
    return max(waited_s, since_run_s - tick_interval_s)


class StopPhase(enum.StrEnum):
    """The phases of a shutdown, in order."""

    SERVING = "serving"
    CLOSING = "closing"
    GIVING_UP = "giving up"


class GracefulStop:
    """The deadlines of a shutdown; all are infinite until one is requested.

    From `close_at` on callers are sent to other nodes as their connections become idle. At `give_up_at`
    open requests get a final answer, at `end_at` all connections end, and at `exit_at` the process
    exits.
    """

    def __init__(self) -> None:
        self.asked_at = math.inf
        self.close_at = math.inf
        self.give_up_at = math.inf
        self.end_at = math.inf
        self.exit_at = math.inf
        self._progress_at = math.inf

    @property
    def asked(self) -> bool:
        """Whether a shutdown was requested."""
        return math.isfinite(self.asked_at)

    def request(self, grace_s: float, asked_at: float) -> None:
        """Start the shutdown that was asked for at a time; later requests have no effect."""
        if self.asked:
            return
        self.asked_at = asked_at
        self._progress_at = asked_at + PROGRESS_INTERVAL_S
        margin_s = min(GIVE_UP_MARGIN_S, MAX_GIVE_UP_FRACTION * grace_s)
        self.close_at = asked_at + min(BALANCER_DRAIN_S, grace_s / 2.0)
        self.give_up_at = asked_at + grace_s - margin_s
        self.end_at = self.give_up_at + CLOSE_FRACTION * margin_s
        self.exit_at = self.give_up_at + EXIT_FRACTION * margin_s

    def is_closing(self, now: float) -> bool:
        """Return whether callers are to be sent to other nodes."""
        return now >= self.close_at

    def must_give_up(self, now: float) -> bool:
        """Return whether open requests must be given up, and new ones refused."""
        return now >= self.give_up_at

    def must_end(self, now: float) -> bool:
        """Return whether connections must end that are still in use."""
        return now >= self.end_at

    def may_exit(self, requests: int, now: float) -> bool:
        """Return whether the process may exit once its connections have ended."""
        return self.is_closing(now) and (requests == 0 or self.must_end(now))

    def take_progress_due(self, now: float) -> bool:
        """Return whether a line about the progress is due, once an interval."""
        if now < self._progress_at:
            return False
        self._progress_at = now + PROGRESS_INTERVAL_S
        return True

    def phase(self, now: float) -> StopPhase:
        """Return the phase of a shutdown that has been requested."""
        if self.must_give_up(now):
            return StopPhase.GIVING_UP
        return StopPhase.CLOSING if self.is_closing(now) else StopPhase.SERVING
