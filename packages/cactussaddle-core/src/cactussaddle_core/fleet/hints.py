"""Hints about leaves that the nodes of a region exchange, to save each its own failure detection.

Hints are advisory. They may be lost, late, or wrong for the receiver, for instance when a leaf is
unreachable from one node only. A hint therefore makes a node avoid or probe a leaf, but never
excludes it.
"""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.fleet.leaf import Leaf

MAX_HINTS = 24


class HintKind(enum.IntEnum):
    """What a hint reports. SLOW carries the slowness ratio, FAULTS the number of faults."""

    NONE = 0
    SLOW = 1
    DOWN = 2
    FAULTS = 3


class Hint(NamedTuple):
    """A report on a leaf; `born_ms` identifies the start of the leaf that it refers to."""

    leaf: str
    born_ms: int
    kind: HintKind
    amount: float


class LeavingNote(NamedTuple):
    """A leaf has said in an answer that it is leaving; `born_ms` identifies this start of it."""

    leaf: str
    born_ms: int


class HintBuffer:
    """Hints queued for the next message.

    It keeps the newest state of each leaf and the sum of its faults.
    """

    def __init__(self) -> None:
        self._faults: dict[str, Hint] = {}
        self._states: dict[str, Hint] = {}

    def note(self, leaf: Leaf, kind: HintKind, amount: float = 0.0) -> None:
        """Queue a hint."""
        hint = Hint(leaf.name, leaf.entry.born_ms, kind, amount)
        if kind is HintKind.FAULTS:
            known = self._faults.get(leaf.name)
            queued = known.amount if known is not None else 0.0
            self._faults[leaf.name] = hint._replace(amount=amount + queued)
        else:
            self._states[leaf.name] = hint

    def take(self) -> tuple[Hint, ...]:
        """Return the queued hints, at most `MAX_HINTS`, and clear the queue."""
        if not self._states and not self._faults:
            return ()
        hints = [*self._states.values(), *self._faults.values()][:MAX_HINTS]
        self._states.clear()
        self._faults.clear()
        return tuple(hints)
