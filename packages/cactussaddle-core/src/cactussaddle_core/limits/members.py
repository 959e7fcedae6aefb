"""Number of nodes by which cluster-wide limits are divided."""

from __future__ import annotations

# The calls of a node that has left still count for about one window of the limits. During a registry
# outage, entries may also expire while their nodes keep running.
RETENTION_S = 15.0


class MemberCounts:
    """Current and recent member counts; past ones are kept as (expiry time, count)."""

    def __init__(self) -> None:
        self._present = 0
        self._past: list[tuple[float, int]] = []

    def saw(self, count: int, now: float) -> None:
        """Record the current member count."""
        self._past = [entry for entry in self._past if entry[0] > now]
        self._past.append((now + RETENTION_S, self._present))
        self._present = count

    def most(self, now: float) -> int:
        """Return the highest recent member count; 0 while none is known."""
        if self._past and self._past[0][0] <= now:
            self._past = [entry for entry in self._past if entry[0] > now]
        return max([self._present, *[count for _, count in self._past]])
