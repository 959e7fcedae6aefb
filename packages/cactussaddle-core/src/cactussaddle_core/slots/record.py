"""What a node keeps of one leaf: its calls in flight and the slots lent and borrowed."""

from __future__ import annotations

import enum

from typing import NamedTuple


class Source(enum.Enum):
    """Whose slot a call takes."""

    OWN = "own"
    BORROWED = "borrowed"


class Lending(NamedTuple):
    """Slots lent to an incarnation of a node until a time on the lender's clock."""

    borrower: tuple[str, int]
    slots: int
    until: float


class Borrowed(NamedTuple):
    """Slots borrowed from a node until a time on the borrower's clock."""

    lender: str
    seq: int
    slots: int
    until: float


class LeafRecord:
    """State of one leaf on one node.

    `unsettled_since` is the epoch of the oldest loss of rights that calls, lendings or
    connections still rest on.
    """

    def __init__(self) -> None:
        self.calls: dict[str, Source] = {}
        self.own_in_use = 0
        self.borrowed_in_use = 0
        self.connections = 0
        self.lendings: list[Lending] = []
        self.borrowed: Borrowed | None = None
        self.unsettled_since: int | None = None

    def begin(self, call_id: str, source: Source) -> None:
        """Count a call that is dispatched now."""
        self.calls[call_id] = source
        if source is Source.OWN:
            self.own_in_use += 1
        else:
            self.borrowed_in_use += 1

    def end(self, call_id: str) -> None:
        """Count a call that has ended; one that is unknown is ignored."""
        source = self.calls.pop(call_id, None)
        if source is Source.OWN:
            self.own_in_use -= 1
        elif source is Source.BORROWED:
            self.borrowed_in_use -= 1

    def lent(self, now: float, *, except_to: tuple[str, int] | None = None) -> int:
        """Return how many slots are lent out, leaving aside those lent to `except_to`."""
        self.lendings = [item for item in self.lendings if item.until > now]
        most: dict[tuple[str, int], int] = {}
        for item in self.lendings:
            if item.borrower != except_to:
                most[item.borrower] = max(item.slots, most.get(item.borrower, 0))
        return sum(most.values())

    def lend(self, lending: Lending) -> None:
        """Note a lending; an earlier and no larger one to the same node is forgotten."""
        kept = [
            item
            for item in self.lendings
            if item.borrower != lending.borrower
            or item.slots > lending.slots
            or item.until > lending.until
        ]
        self.lendings = [*kept, lending]

    def forget_lendings(self, borrower: tuple[str, int]) -> None:
        """Forget what was lent to a node that has said that it uses it no more."""
        self.lendings = [item for item in self.lendings if item.borrower != borrower]

    def borrowed_until(self, end: float) -> int:
        """Return how many slots are borrowed at least until `end`."""
        if self.borrowed is None or self.borrowed.until < end:
            return 0
        return self.borrowed.slots

    def is_idle(self) -> bool:
        """Return whether nothing has to be remembered of this leaf."""
        return not (
            self.calls
            or self.lendings
            or self.borrowed
            or self.connections
            or self.unsettled_since is not None
        )
