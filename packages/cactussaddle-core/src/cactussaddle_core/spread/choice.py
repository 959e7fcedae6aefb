"""Selection of the source to follow: the most preferred one that is not in back-off.

A request to a silent node takes longer to time out than the back-off of another, so two silent nodes
would be asked in turn for as long as they are silent. After a failure the store is therefore asked if
the records would be stale before another request times out.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.spread.tree import TreePosition

if TYPE_CHECKING:
    from cactussaddle_core.spread.model import Member

STORE = "store"
INITIAL_BACKOFF_S = 1.0
MAX_MEMBER_BACKOFF_S = 2.0
# Maximum back-off for the store. Few nodes read it, and changes must be in force within seconds of
# its return, so such a node retries sooner unless a member that it follows has fresh data.
MAX_READER_STORE_BACKOFF_S = 1.0
MAX_STORE_BACKOFF_S = 3.0
# A source's data is stale if the store has not confirmed it for this long.
STALE_S = 2.5
# After a failure, records older than this would be stale before a request to a silent node times out.
URGENT_AGE_S = 1.0


def source_name(member: Member | None) -> str:
    """Return the name of a source; None stands for the store."""
    return STORE if member is None else member.node


class SourceSelector:
    """The sources of a node and their back-offs; times are of the monotonic clock."""

    def __init__(self) -> None:
        self.place = TreePosition((), 0)
        self._retry_at: dict[str, float] = {}
        self._backoffs: dict[str, float] = {}
        self._has_failed = False
        self._member_is_fresh = False

    def set_position(self, place: TreePosition) -> None:
        """Set the node's position in the tree."""
        self.place = place

    @property
    def reads_store(self) -> bool:
        """Whether the store is this node's first choice."""
        return self.place.store_at == 0

    def pick(self, now: float, age_s: float) -> Member | None:
        """Return the member to follow now, or None for the store.

        `age_s` is the age of this node's records, infinity if it has none.
        """
        sources = self._sources()
        free = [source for source in sources if self._retry_at.get(source[0], 0.0) <= now]
        if not free:
            return min(sources, key=lambda source: self._retry_at.get(source[0], 0.0))[1]
        is_urgent = self._has_failed and URGENT_AGE_S < age_s < math.inf
        if is_urgent and (STORE, None) in free:
            return None
        return free[0][1]

    def wait_s(self, now: float) -> float:
        """Return the time until the next source may be tried; 0 if one may be tried now."""
        free_at = min(self._retry_at.get(name, 0.0) for name, _ in self._sources())
        return max(0.0, free_at - now)

    def failed(self, member: Member | None, now: float) -> None:
        """Record that a source did not answer or returned stale data."""
        if member is not None:
            self._member_is_fresh = False
        name = source_name(member)
        self._has_failed = True
        backoff_s = self._backoffs.get(name, INITIAL_BACKOFF_S)
        self._retry_at[name] = now + backoff_s
        self._backoffs[name] = min(self._max_backoff_s(member), 2.0 * backoff_s)

    def answered(self, member: Member | None) -> None:
        """Record a fresh answer from a source."""
        if member is not None:
            self._member_is_fresh = True
        name = source_name(member)
        self._has_failed = False
        self._backoffs.pop(name, None)
        self._retry_at.pop(name, None)

    def _max_backoff_s(self, member: Member | None) -> float:
        if member is not None:
            return MAX_MEMBER_BACKOFF_S
        alone = self.reads_store and not self._member_is_fresh
        return MAX_READER_STORE_BACKOFF_S if alone else MAX_STORE_BACKOFF_S

    def _sources(self) -> list[tuple[str, Member | None]]:
        members: list[tuple[str, Member | None]] = [
            (member.node, member) for member in self.place.follow
        ]
        at = self.place.store_at
        return [*members[:at], (STORE, None), *members[at:]]
