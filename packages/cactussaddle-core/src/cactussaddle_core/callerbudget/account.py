"""The account of what is held for each caller, and who goes first when room is short.

It answers crowds that send much and stop, that send or read slowly, and that send ahead without
reading: what they hold grows while they make no progress. Callers that make progress are the last
to go, and requests that are being served stay.
"""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING

from cactussaddle_core.callerbudget.cost import CONNECTION_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.callerbudget.rules import CallerBudgetRules

# Bytes that count as one second of progress.
PROGRESS_BYTES_PER_S = 1024.0
# Added to each caller's time without progress, so that the largest go first among the newest.
LEAST_STALL_S = 0.1
# Callers that hold less than this beyond their connection stay: closing them makes no room.
LEAST_SPARE_BYTES = 4096
# When the budget is exceeded, room is made down to this part of it, so that callers are rarely compared.
ROOM_SHARE = 0.875
# Part of a full listener's connections that are closed for new ones at a time.
CLOSED_AT_ONCE = 1.0 / 32.0
# Requests up to this cost may be served as long as there is any room.
SMALL_REQUEST_BYTES = 32 * 1024
# Time until callers are compared again when all that is held is in use.
COMPARE_AGAIN_S = 0.1


class Stage(enum.IntEnum):
    """What a connection does, in the order in which it is closed to make room for another one."""

    LEAVING = 0
    WAITING = 1
    SERVED = 2


class Holder:
    """What is held for one connection: `held` bytes, of which `served` are of a request in progress.

    `progress_at` is when the caller last made progress; few bytes move it by little.
    """

    __slots__ = ("held", "progress_at", "served", "stage")

    def __init__(self, *, now: float) -> None:
        self.held = 0
        self.served = 0
        self.progress_at = now
        self.stage = Stage.WAITING

    def progressed(self, count: int, now: float) -> None:
        """Note that `count` bytes have come from the caller or have been taken by it."""
        self.progress_at = min(now, self.progress_at + count / PROGRESS_BYTES_PER_S)


class Account:
    """What a node holds for all its callers."""

    def __init__(self, *, rules: CallerBudgetRules) -> None:
        self.rules = rules
        self.held = 0
        self.served = 0
        self.holders: set[Holder] = set()
        self._compare_at = 0.0

    def join(self, now: float) -> Holder:
        """Add a connection."""
        holder = Holder(now=now)
        self.holders.add(holder)
        self.hold(holder, CONNECTION_BYTES, 0)
        return holder

    def leave(self, holder: Holder) -> None:
        """Remove a connection that is closed."""
        self.hold(holder, 0, 0)
        self.holders.discard(holder)

    def hold(self, holder: Holder, held: int, served: int) -> None:
        """Set what is held for a connection."""
        self.held += held - holder.held
        self.served += served - holder.served
        holder.held = held
        holder.served = served

    def may_begin(self, cost: int) -> bool:
        """Return whether there is room to serve a request of this cost."""
        if cost <= SMALL_REQUEST_BYTES:
            return self.served + cost <= self.rules.budget_bytes
        return self.served + cost <= self.rules.served_bytes

    def over_budget(self, now: float) -> list[Holder]:
        """Return the connections to close: those that hold most for longest without progress."""
        if self.held <= self.rules.budget_bytes or now < self._compare_at:
            return []
        excess = self.held - int(ROOM_SHARE * self.rules.budget_bytes)
        closed: list[Holder] = []
        for holder in sorted(self.holders, key=lambda one: _weight(one, now), reverse=True):
            if excess <= 0:
                break
            spare = _spare_bytes(holder)
            if spare >= LEAST_SPARE_BYTES:
                closed.append(holder)
                excess -= spare
        if excess > 0:
            self._compare_at = now + COMPARE_AGAIN_S
        return closed


def over_connections(holders: Iterable[Holder], most: int) -> list[Holder]:
    """Return the connections to close before another one is accepted.

    Those that are to be closed anyway go first, then those longest without progress; none whose request
    is being served.
    """
    known = list(holders)
    if len(known) < most:
        return []
    closable = [holder for holder in known if holder.stage is not Stage.SERVED]
    closable.sort(key=lambda holder: (holder.stage, holder.progress_at))
    return closable[: max(1 + len(known) - most, int(CLOSED_AT_ONCE * most))]


def _spare_bytes(holder: Holder) -> int:
    """Return the bytes that a connection holds beyond itself and a request being served."""
    return holder.held - holder.served - CONNECTION_BYTES


def _weight(holder: Holder, now: float) -> float:
    return _spare_bytes(holder) * (now - holder.progress_at + LEAST_STALL_S)
