"""Schedule of health probes."""

from __future__ import annotations

import math


class ProbePlan:
    """The due time of each leaf's next probe, by leaf id; times are of the monotonic clock."""

    def __init__(self) -> None:
        self.next_at = math.inf
        self._due: dict[str, float] = {}

    def schedule(self, leaf: str, at: float) -> None:
        """Schedule a probe of a leaf for `at`, unless an earlier one is scheduled."""
        self._set(leaf, min(at, self._due.get(leaf, math.inf)))

    def postpone(self, leaf: str, until: float) -> None:
        """Schedule a probe of a leaf for `until`, replacing any earlier schedule."""
        self._set(leaf, until)

    def take_due(self, now: float) -> list[str]:
        """Remove and return the leaves to probe now."""
        if now < self.next_at:
            return []
        due = [leaf for leaf, at in self._due.items() if at <= now]
        for leaf in due:
            del self._due[leaf]
        self.next_at = min(self._due.values(), default=math.inf)
        return due

    def _set(self, leaf: str, at: float) -> None:
        self._due[leaf] = at
        self.next_at = min(self.next_at, at)
