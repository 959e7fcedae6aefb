"""Schedule of health probes."""

from __future__ import annotations

import math

# Probes wait for a host's more urgent work in steps of this length, and for this long at most.
HOLD_S = 0.02
MAX_HOLD_S = 0.3


class ProbePlan:
    """The due time of each leaf's next probe, by leaf id; times are of the monotonic clock."""

    def __init__(self) -> None:
        self._next_at = math.inf
        self._held_since = math.inf
        self._held_until = -math.inf
        self._due: dict[str, float] = {}

    def schedule(self, leaf: str, at: float) -> None:
        """Schedule a probe of a leaf for `at`, unless an earlier one is scheduled."""
        self._set(leaf, min(at, self._due.get(leaf, math.inf)))

    def postpone(self, leaf: str, until: float) -> None:
        """Schedule a probe of a leaf for `until`, replacing any earlier schedule."""
        self._set(leaf, until)

    @property
    def next_at(self) -> float:
        """When the next probe is to be sent."""
        return max(self._next_at, self._held_until)

    def hold(self, now: float) -> None:
        """Put off the probes that are due for a moment, as this host has more urgent work.

        They are put off for `MAX_HOLD_S` at most, from the first of them.
        """
        if now < self._next_at:
            return
        self._held_since = min(self._held_since, self._next_at)
        self._held_until = min(now + HOLD_S, self._held_since + MAX_HOLD_S)

    def take_due(self, now: float) -> list[str]:
        """Remove and return the leaves to probe now."""
        if now < self.next_at:
            return []
        due = [leaf for leaf, at in self._due.items() if at <= now]
        for leaf in due:
            del self._due[leaf]
        self._held_since = math.inf
        self._next_at = min(self._due.values(), default=math.inf)
        return due

    def _set(self, leaf: str, at: float) -> None:
        self._due[leaf] = at
        self._next_at = min(self._next_at, at)
