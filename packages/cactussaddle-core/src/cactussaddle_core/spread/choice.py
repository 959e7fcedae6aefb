"""Choice of the source to follow now: the best one that has not failed of late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.spread.tree import Place

if TYPE_CHECKING:
    from cactussaddle_core.spread.model import Member

STORE = "store"
FIRST_BAR_S = 1.0
MAX_BAR_S = 2.0
# Changes have to be in force within seconds of the store's return, and few nodes read it. A node
# with a fresh member to follow can wait longer.
READERS_MAX_BAR_S = 1.0
OTHERS_MAX_BAR_S = 3.0
# What a source hands on is stale when the store has not confirmed it for this long.
STALE_S = 2.5


def source_name(member: Member | None) -> str:
    """Return the name of a source; None is the store."""
    return STORE if member is None else member.node


class SourceChoice:
    """The sources of one node at its `place` and which of them failed; times of the steady clock."""

    def __init__(self) -> None:
        self.place = Place((), 0)
        self._barred_until: dict[str, float] = {}
        self._bars: dict[str, float] = {}
        self._member_is_fresh = False

    def set_place(self, place: Place) -> None:
        """Follow a changed place in the tree."""
        self.place = place

    @property
    def reads_store(self) -> bool:
        """Whether the store is this node's first choice."""
        return self.place.store_at == 0

    def pick(self, now: float) -> Member | None:
        """Return the member to follow now, or None for the store."""
        sources = self._sources()
        for name, member in sources:
            if self._barred_until.get(name, 0.0) <= now:
                return member
        return min(sources, key=lambda source: self._barred_until.get(source[0], 0.0))[1]

    def wait_s(self, now: float) -> float:
        """Return how long until some source may be asked; 0 when one may be now."""
        free_at = min(self._barred_until.get(name, 0.0) for name, _ in self._sources())
        return max(0.0, free_at - now)

    def failed(self, member: Member | None, now: float) -> None:
        """Take in that a source did not answer, or with what is stale."""
        if member is not None:
            self._member_is_fresh = False
        name = source_name(member)
        bar_s = self._bars.get(name, FIRST_BAR_S)
        self._barred_until[name] = now + bar_s
        self._bars[name] = min(self._most_bar_s(member), 2.0 * bar_s)

    def answered(self, member: Member | None) -> None:
        """Take in a fresh answer of a source."""
        if member is not None:
            self._member_is_fresh = True
        name = source_name(member)
        self._bars.pop(name, None)
        self._barred_until.pop(name, None)

    def _most_bar_s(self, member: Member | None) -> float:
        if member is not None:
            return MAX_BAR_S
        alone = self.reads_store and not self._member_is_fresh
        return READERS_MAX_BAR_S if alone else OTHERS_MAX_BAR_S

    def _sources(self) -> list[tuple[str, Member | None]]:
        members: list[tuple[str, Member | None]] = [
            (member.node, member) for member in self.place.follow
        ]
        at = self.place.store_at
        return [*members[:at], (STORE, None), *members[at:]]
