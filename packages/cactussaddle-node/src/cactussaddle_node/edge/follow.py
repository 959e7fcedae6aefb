"""Follows the store for as long as the process runs: a listing, then changes as they come.

A watch whose answer was lost never returns, and its connection shows no sign of it. So the lease
of this node's entry, which is renewed often, tells whether the store answers: when a renewal
fails, the watch is given up and the store is asked again until it answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import trio

from returns.result import Failure

from cactussaddle_core.edge import events as ev

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from cactussaddle_common.storeapi import StoreError

# A change is waited for this long before the store is asked again.
WAIT_S = 20.0
# Changes that come together are read together.
PACE_S = 0.15
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8


class Feed(Protocol):
    """The store as events of the node."""

    async def listing(self) -> Result[tuple[list[ev.Event], int], StoreError]:
        """Read everything: its events and the revision to follow from."""
        ...

    async def changes(
        self, after: int, wait_s: float
    ) -> Result[tuple[list[ev.Event], int] | None, StoreError]:
        """Wait for changes after a revision; None when they are no longer kept."""
        ...


class Follower:
    """Reads the store and feeds what it says; `interrupt` has it ask anew at once."""

    def __init__(self, *, source: Feed, feed: Callable[[ev.Event], None]) -> None:
        self._source = source
        self._feed = feed
        self._revision: int | None = None
        self._sure = False
        self._waiting: trio.CancelScope | None = None

    def interrupt(self, reason: str) -> None:
        """Give up a watch that may be lost."""
        if self._waiting is not None:
            self._feed(ev.StoreLost(reason))
            self._sure = False
            self._waiting.cancel()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            if await self._step():
                retry_s = FIRST_RETRY_S
                await trio.sleep(PACE_S)
            else:
                await trio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, 2.0 * retry_s)

    async def _step(self) -> bool:
        """Read once; return whether the store answered."""
        outcome = await self._read()
        if outcome is None:
            return False
        if isinstance(outcome, Failure):
            self._sure = False
            self._feed(ev.StoreLost(outcome.failure().detail))
            return False
        self._sure = True
        self._feed(ev.StoreBack())
        found = outcome.unwrap()
        if found is None:
            self._revision = None
            return True
        events, self._revision = found
        for event in events:
            self._feed(event)
        return True

    async def _read(self) -> Result[tuple[list[ev.Event], int] | None, StoreError] | None:
        """Read a listing or changes; None when interrupted."""
        if self._revision is None:
            return await self._source.listing()
        if not self._sure:
            return await self._source.changes(self._revision, 0.0)
        with trio.CancelScope() as self._waiting:
            try:
                return await self._source.changes(self._revision, WAIT_S)
            finally:
                self._waiting = None
        return None
