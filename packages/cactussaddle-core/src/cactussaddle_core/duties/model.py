"""Records and messages of a duty."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

# Slots in the store for frozen reports; a window uses the slot of its number modulo this.
REPORT_SLOTS = 8
# The low bits of a token hold the revision, those above the era.
REVISION_BITS = 40


class DutyRules(NamedTuple):
    """Times of a duty in seconds; a report is due `late_s` after the end of its window.

    All nodes together may make `calls_per_s` calls for their duties.
    """

    lease_s: float
    window_s: float
    late_s: float
    calls_per_s: float

    def kept_windows(self) -> int:
        """Return how many windows before the present one are kept: all that may still be reported."""
        return min(REPORT_SLOTS - 2, math.ceil(self.late_s / self.window_s) + 1)


class HolderRecord(NamedTuple):
    """The holder's record, which ends with its lease; `attempt` identifies its try to take the duty."""

    node: str
    attempt: str


class TermRecord(NamedTuple):
    """What lasts beyond a term: the last holders, and the store's era in which the last one began.

    `nodes` starts with the last holder. Windows before `first_window` may have been reported from records
    that this era doesn't have.
    """

    nodes: tuple[str, ...]
    era: int
    first_window: int

    def last_holder(self) -> str:
        """Return the last holder; empty if none is named."""
        return self.nodes[0] if self.nodes else ""


class FrozenReport(NamedTuple):
    """The counts of a window as they are reported, by whomever."""

    window: int
    counts: dict[str, int]


class StoredHolder(NamedTuple):
    """The holder's record as read at a revision; `record` is None if it is not there."""

    record: HolderRecord | None
    revision: int


class StoredTerm(NamedTuple):
    """The term's record as read at a revision; `record` is None if it is not there (revision 0)."""

    record: TermRecord | None
    revision: int


class StoredReport(NamedTuple):
    """A slot as read at a revision; `report` is None if its content can't be read."""

    slot: int
    report: FrozenReport | None
    revision: int


class CountRow(NamedTuple):
    """Counts of a window by team, some or all of them; `total` is the sum of all."""

    window: int
    total: int
    counts: dict[str, int]


class CountsNote(NamedTuple):
    """A process's counts, and its time of day as it sent them."""

    node: str
    incarnation: str
    wall_s: float
    rows: tuple[CountRow, ...]


class HolderNote(NamedTuple):
    """The holder's confirmation to one process of the sums that it has, by window.

    `true_s` is the median of the nodes' times of day as the note was sent.
    """

    node: str
    token: int
    true_s: float
    incarnation: str
    totals: tuple[tuple[int, int], ...]


def token_of(era: int, revision: int) -> int:
    """Return the fencing token of a term that began at a revision of an era."""
    return (era << REVISION_BITS) + revision


def slot_of(window: int) -> int:
    """Return the slot of a window's frozen report."""
    return window % REPORT_SLOTS


def total_of(counts: Mapping[str, int]) -> int:
    """Return the sum of the counts."""
    return sum(counts.values())
