"""The nodes that share the common limits, by a record of each in the store that outlives its lease.

Leases may end while their nodes run, all at once and unnoticed, so the registered nodes don't tell how many there are.
A node has a share of a limit only once it has read its own record: then every other node that reads the
store counts it too, and the shares of all nodes together never exceed the limit.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.hashing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# A new node waits until the others have read its record, and it theirs.
JOIN_S = 3.0
# A record is removed after its node has been unregistered for this long. A node that has not heard of the
# store for a shorter time stops using its share by itself.
ABSENT_S = 300.0
SHARE_VALID_S = 240.0


class Enrolment(NamedTuple):
    """This process's entry in the roster.

    `was_listed` is set if an earlier process of this node had one. `has_reserve` is set if no earlier process was
    granted the reserve of its first window a short time ago.
    """

    was_listed: bool
    has_reserve: bool


class RosterRecord(NamedTuple):
    """A node's record: the process that was last granted a reserve, and when, in Unix milliseconds."""

    process: str
    granted_ms: float


def enrol(known: RosterRecord | None, process: str, window_s: float, now_ms: float) -> Enrolment:
    """Decide on the enrolment of a process, given the record that its node has in the store.

    A grant counts for a window, so another one within that time is refused; so it is if the clock
    shows a time before the last grant.
    """
    if known is None:
        return Enrolment(was_listed=False, has_reserve=True)
    is_over = now_ms - known.granted_ms >= 1000.0 * window_s
    return Enrolment(was_listed=True, has_reserve=is_over or known.process == process)


def roster_record(
    known: RosterRecord | None, enrolment: Enrolment, process: str, now_ms: float
) -> RosterRecord:
    """Return the record to write for an enrolment: a refused grant leaves the time of the last one."""
    if known is None or enrolment.has_reserve:
        return RosterRecord(process, now_ms)
    return RosterRecord(process, known.granted_ms)


class Roster:
    """The roster as this node has read it."""

    def __init__(self, *, node: str) -> None:
        self.names: frozenset[str] = frozenset()
        self._node = node
        self._shares_from = math.inf
        self._absent_since: dict[str, float] = {}

    def enrolled(self, enrolment: Enrolment, now: float) -> None:
        """Record that this node's own record is written."""
        self._shares_from = now if enrolment.was_listed else now + JOIN_S

    def listed(self, names: Iterable[str], now: float) -> None:
        """Apply a complete listing."""
        self.names = frozenset(names)
        if self._node not in self.names:
            self._shares_from = max(self._shares_from, now + JOIN_S)

    def seen(self, name: str) -> None:
        """Apply a new record."""
        self.names |= {name}

    def gone(self, name: str, now: float) -> None:
        """Apply the removal of a record; a node whose own record has gone waits as a new one does."""
        self.names -= {name}
        if name == self._node:
            self._shares_from = max(self._shares_from, now + JOIN_S)

    def has_share(self, store_away_s: float, now: float) -> bool:
        """Return whether this node may use its share; it last heard of the store `store_away_s` ago."""
        is_listed = self._node in self.names and now >= self._shares_from
        return is_listed and store_away_s < SHARE_VALID_S

    def overdue(self, registered: Collection[str], now: float) -> list[str]:
        """Return the names that this node has to remove, given the nodes that are registered now."""
        absent = self.names.difference(registered)
        self._absent_since = {name: self._absent_since.get(name, now) for name in absent}
        return [
            name
            for name, since in self._absent_since.items()
            if now - since >= ABSENT_S and rendezvous(name, registered)[:1] == [self._node]
        ]

    def store_lost(self) -> None:
        """Forget since when nodes are unregistered: without the store, that shows nothing."""
        self._absent_since.clear()
