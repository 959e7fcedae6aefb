"""The nodes by which cluster-wide limits are divided."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# The calls of a node that has left still count for about one window of the limits. During a registry
# outage, entries may also expire while their nodes keep running.
RETENTION_S = 15.0


class RecentMembers:
    """The registered nodes, and those that were registered a short time ago."""

    def __init__(self) -> None:
        self._present: frozenset[str] = frozenset()
        self._gone: dict[str, float] = {}

    def saw(self, names: Iterable[str], now: float) -> None:
        """Record the nodes that are registered now."""
        present = frozenset(names)
        self._gone = {name: until for name, until in self._gone.items() if until > now}
        for name in self._present - present:
            self._gone[name] = now + RETENTION_S
        for name in present:
            self._gone.pop(name, None)
        self._present = present

    def names(self, now: float) -> list[str]:
        """Return the present and recent nodes, sorted; none while none is known."""
        recent = [name for name, until in self._gone.items() if until > now]
        return sorted([*self._present, *recent])

    def count(self, now: float) -> int:
        """Return the number of present and recent nodes; 0 while none is known."""
        return len(self._present) + sum(until > now for until in self._gone.values())
