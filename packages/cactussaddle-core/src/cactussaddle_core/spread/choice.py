"""Choice of the source to follow now: the best one that has not failed of late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.spread.tree import Place

if TYPE_CHECKING:
    from cactussaddle_core.spread.model import Member

STORE = "store"
FIRST_BAR_S = 1.0
MAX_BAR_S = 8.0
# Changes have to be in force within seconds of the store's return, and few nodes come to ask it.
MAX_STORE_BAR_S = 1.0
# What a source hands on is stale when the store has not confirmed it for this long.
STALE_S = 2.5


def source_name(member: Member | None) -> str:
    """Return the name of a source; None is the store."""
    return STORE if member is None else member.node


class SourceChoice:
    """The sources of one node and which of them failed; times are of the steady clock."""

    def __init__(self) -> None:
        self._place = Place((), 0)
        self._barred_until: dict[str, float] = {}
        self._bars: dict[str, float] = {}

    def set_place(self, place: Place) -> None:
        """Follow a changed place in the tree."""
        self._place = place

    @property
    def reads_store(self) -> bool:
        """Whether the store is this node's first choice."""
        return self._place.store_at == 0

    def pick(self, now: float) -> Member | None:
        """Return the member to follow now, or None for the store."""
        sources = self._sources()
        for name, member in sources:
            if self._barred_until.get(name, 0.0) <= now:
                return member
        return min(sources, key=lambda source: self._barred_until.get(source[0], 0.0))[1]

    def failed(self, member: Member | None, now: float) -> None:
        """Take in that a source did not answer, or with what is stale."""
        name = source_name(member)
        bar_s = self._bars.get(name, FIRST_BAR_S)
        self._barred_until[name] = now + bar_s
        most_s = MAX_STORE_BAR_S if member is None else MAX_BAR_S
        self._bars[name] = min(most_s, 2.0 * bar_s)

    def answered(self, member: Member | None) -> None:
        """Take in a fresh answer of a source."""
        name = source_name(member)
        self._bars.pop(name, None)
        self._barred_until.pop(name, None)

    def _sources(self) -> list[tuple[str, Member | None]]:
        members: list[tuple[str, Member | None]] = [
            (member.node, member) for member in self._place.follow
        ]
        at = self._place.store_at
        return [*members[:at], (STORE, None), *members[at:]]
