"""By how many nodes the common bounds are divided."""

from __future__ import annotations

# What a node that has left has spent still counts for about one window of the bounds, and entries
# may lapse in an outage while their nodes go on.
REMEMBERED_S = 15.0


class MemberCounts:
    """The numbers of members of late, as (until when it counts, number)."""

    def __init__(self) -> None:
        self._present = 0
        self._past: list[tuple[float, int]] = []

    def saw(self, count: int, now: float) -> None:
        """Take in the present number."""
        self._past = [entry for entry in self._past if entry[0] > now]
        self._past.append((now + REMEMBERED_S, self._present))
        self._present = count

    def most(self, now: float) -> int:
        """Return the number to divide by; 0 while none is known."""
        if self._past and self._past[0][0] <= now:
            self._past = [entry for entry in self._past if entry[0] > now]
        return max([self._present, *[count for _, count in self._past]])
