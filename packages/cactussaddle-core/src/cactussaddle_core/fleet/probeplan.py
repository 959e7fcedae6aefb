"""When which leaf is to be probed next."""

from __future__ import annotations

import math


class ProbePlan:
    """The due time of each leaf's next probe, by leaf id; times are of the steady clock."""

    def __init__(self) -> None:
        self.next_at = math.inf
        self._due: dict[str, float] = {}

    def ask(self, leaf: str, at: float) -> None:
        """Have a leaf probed at `at`, or earlier where that is planned already."""
        self._set(leaf, min(at, self._due.get(leaf, math.inf)))

    def put_off(self, leaf: str, until: float) -> None:
        """Have a leaf probed at `until`, whatever was planned."""
        self._set(leaf, until)

    def take_due(self, now: float) -> list[str]:
        """Return the leaves to probe now; each is planned anew only when asked for again."""
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
