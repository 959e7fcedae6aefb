"""Counts of the requests that began to run, by window and team: a node's own, and those of all."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.duties.model import CountRow
from cactussaddle_core.duties.model import total_of

if TYPE_CHECKING:
    from cactussaddle_core.duties.model import CountsNote

MAX_TEAMS = 4096
MAX_TEAM_CHARS = 256
# Processes whose counts of one window are kept.
MAX_REPORTERS = 1024
MAX_COUNT = 1 << 48
# Teams in one message, so that it fits a datagram.
ROW_TEAMS = 64


def window_of(true_s: float, window_s: float) -> int:
    """Return the number of the window that holds a true time."""
    return math.floor(true_s / window_s)


class OwnCounts:
    """This process's counts of its last windows."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[str, int]] = {}
        self._changed: dict[int, set[str]] = {}
        # Runs of teams beyond the bound, which are in no count.
        self.uncounted = 0

    def began(self, team: str, window: int) -> None:
        """Count a request that began to run in a window."""
        counts = self._windows.setdefault(window, {})
        if team not in counts and (len(counts) >= MAX_TEAMS or len(team) > MAX_TEAM_CHARS):
            self.uncounted += 1
            return
        counts[team] = counts.get(team, 0) + 1
        self._changed.setdefault(window, set()).add(team)

    def forget_before(self, window: int) -> None:
        """Drop the windows before one."""
        for old in [known for known in self._windows if known < window]:
            del self._windows[old]
            self._changed.pop(old, None)

    def totals(self) -> dict[int, int]:
        """Return the sum of each window."""
        return {window: total_of(counts) for window, counts in self._windows.items()}

    def take_changed(self) -> list[CountRow]:
        """Return the counts that have changed since the last call."""
        changed, self._changed = self._changed, {}
        rows: list[CountRow] = []
        for window, teams in sorted(changed.items()):
            rows += self._rows(window, sorted(teams))
        return rows

    def row_of(self, window: int) -> list[CountRow]:
        """Return all counts of a window."""
        return self._rows(window, sorted(self._windows.get(window, ())))

    def _rows(self, window: int, teams: list[str]) -> list[CountRow]:
        counts = self._windows.get(window, {})
        total = total_of(counts)
        return [
            CountRow(
                window, total, {team: counts[team] for team in teams[begin : begin + ROW_TEAMS]}
            )
            for begin in range(0, len(teams), ROW_TEAMS)
        ]


class Ledger:
    """The counts heard of all processes; of each count the highest is kept.

    A count only grows within a process, so messages may be lost, repeated and out of order.
    """

    def __init__(self) -> None:
        self._windows: dict[int, dict[tuple[str, str], dict[str, int]]] = {}

    def heard(self, note: CountsNote, first: int, last: int) -> None:
        """Merge a process's counts of the windows from `first` to `last`; others are ignored."""
        for row in note.rows:
            if first <= row.window <= last:
                self._merge((note.node, note.incarnation), row)

    def _merge(self, reporter: tuple[str, str], row: CountRow) -> None:
        window = self._windows.setdefault(row.window, {})
        if reporter not in window and len(window) >= MAX_REPORTERS:
            return
        known = window.setdefault(reporter, {})
        for team, count in row.counts.items():
            if not _is_usable(team, count) or (team not in known and len(known) >= MAX_TEAMS):
                continue
            known[team] = max(known.get(team, 0), count)

    def forget_before(self, window: int) -> None:
        """Drop the windows before one."""
        for old in [known for known in self._windows if known < window]:
            del self._windows[old]

    def sums_of(self, node: str, incarnation: str) -> tuple[tuple[int, int], ...]:
        """Return what is known of a process: the sum of each window."""
        reporter = (node, incarnation)
        return tuple(
            (window, total_of(reporters[reporter]))
            for window, reporters in sorted(self._windows.items())
            if reporter in reporters
        )

    def counts_of(self, window: int) -> dict[str, int]:
        """Return the counts of all processes for a window, by team."""
        counts: dict[str, int] = {}
        for known in self._windows.get(window, {}).values():
            for team, count in known.items():
                counts[team] = counts.get(team, 0) + count
        return dict(sorted(counts.items()))


def _is_usable(team: str, count: int) -> bool:
    return 0 < count < MAX_COUNT and 0 < len(team) <= MAX_TEAM_CHARS
