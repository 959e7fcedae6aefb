"""Follows what the store holds, over other nodes or by reading the store itself.

A watch at the store whose answer was lost never returns, and its connection shows no sign of it.
So the lease of this node's entry, which a reader renews often, tells whether the store answers:
when a renewal fails, the watch is given up and the store is asked again until it answers. A node
that is followed answers within a short wait, news or not, so its silence shows by itself.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import Protocol

import trio

from returns.result import Failure

from cactussaddle_core.edge import events as ev
from cactussaddle_core.spread.choice import STALE_S
from cactussaddle_core.spread.choice import SourceChoice
from cactussaddle_core.spread.choice import source_name
from cactussaddle_core.spread.log import RecordLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from cactussaddle_common.storeapi import StoreError
    from cactussaddle_core.spread.model import Batch
    from cactussaddle_core.spread.model import Member
    from cactussaddle_core.spread.model import Record

# A change at the store is waited for this long before it is asked again.
WAIT_S = 20.0
# A node that should follow another soon looks whether that one answers again.
BRIEF_WAIT_S = 0.5
# Changes that come together are read together: the pause between two readings doubles while each
# finds news at once, up to a part of the time in which changes have to be in force.
FIRST_PACE_S = 0.1
MAX_PACE_S = 0.6
# A reading that waited for longer than this ends a run of changes.
CALM_S = 1.5
# The pause before the next source is asked.
NEXT_SOURCE_S = 0.02
# Followers are told of a confirmation that is newer by this much.
CONFIRM_STEP_S = 0.3
# Stands for "never" in the log.
MAX_AGE_S = 1e6


class StoreSource(Protocol):
    """The store itself."""

    async def listing(self) -> Result[Batch, StoreError]:
        """Read everything."""
        ...

    async def changes(self, after: int, wait_s: float) -> Result[Batch | None, StoreError]:
        """Wait for changes after a revision; None when they are no longer kept."""
        ...


class PeerSource(Protocol):
    """Other nodes."""

    async def changes(self, member: Member, after: int, age_s: float) -> Result[Batch, StoreError]:
        """Ask a node for changes after a revision, which the store confirmed `age_s` ago here.

        It answers within a short wait, and at once where it knows better.
        """
        ...


class Decoder(Protocol):
    """Reads records as events of the node."""

    def read_listing(self, records: tuple[Record, ...]) -> list[ev.Event]:
        """Return everything there is as events."""
        ...

    def read_change(self, record: Record) -> list[ev.Event]:
        """Return what one changed key says."""
        ...


class Follower:
    """Reads the store or a node that does, and feeds what is new.

    `interrupt` has it ask the store anew at once; `changed` is set whenever something is new, or
    confirmed anew.
    """

    def __init__(
        self,
        *,
        store: StoreSource,
        peers: PeerSource,
        decoder: Decoder,
        feed: Callable[[ev.Event], None],
    ) -> None:
        self.log = RecordLog()
        self.choice = SourceChoice()
        self.changed = trio.Event()
        self.confirmed_at = -math.inf
        self._store = store
        self._peers = peers
        self._decoder = decoder
        self._feed = feed
        self._loaded = False
        self._sure = False
        self._waiting: trio.CancelScope | None = None

    def age_s(self, now: float) -> float:
        """Return how long ago the store confirmed what is known here."""
        return now - self.confirmed_at

    def confirm(self) -> None:
        """Take in that the store answers and has told of every change."""
        if self._sure:
            self._confirmed(trio.current_time())

    def interrupt(self, reason: str) -> None:
        """Give up a watch at the store that may be lost."""
        if self._waiting is not None:
            self._lost(reason, None)
            self._sure = False
            self._waiting.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        pace_s = FIRST_PACE_S
        while True:
            began = trio.current_time()
            if await self._step():
                calm = trio.current_time() - began > CALM_S
                pace_s = FIRST_PACE_S if calm else min(MAX_PACE_S, 2.0 * pace_s)
                await trio.sleep(pace_s)
            else:
                wait_s = self.choice.wait_s(trio.current_time())
                await trio.sleep(max(NEXT_SOURCE_S, wait_s))

    async def _step(self) -> bool:
        """Ask the source once; return whether it answered with what is fresh."""
        member = self.choice.pick(trio.current_time())
        outcome = await self._ask(member)
        now = trio.current_time()
        if outcome is None:
            return False
        if isinstance(outcome, Failure):
            self._sure = False
            self.choice.failed(member, now)
            self._lost(outcome.failure().detail, member)
            return False
        batch = outcome.unwrap()
        if batch is None:
            self._loaded = False
            return True
        return self._take(member, batch, now)

    def _take(self, member: Member | None, batch: Batch, now: float) -> bool:
        self._sure = member is None
        if batch.whole and batch.revision < self.log.revision:
            # Taken for the present state, it would bring back what has been removed since.
            self.choice.failed(member, now)
            self._lost("older than what is known here", member)
            return False
        if batch.age_s > STALE_S:
            self._apply(batch)
            self.choice.failed(member, now)
            self._lost("stale", member)
            return False
        self._confirmed(now - batch.age_s)
        self.choice.answered(member)
        self._feed(ev.StoreBack(source_name(member), batch.revision, batch.age_s))
        self._apply(batch)
        return True

    def _lost(self, reason: str, member: Member | None) -> None:
        age_s = min(self.age_s(trio.current_time()), MAX_AGE_S)
        self._feed(ev.StoreLost(reason, source_name(member), age_s))

    async def _ask(self, member: Member | None) -> Result[Batch | None, StoreError] | None:
        """Ask a source; None when interrupted."""
        if member is not None:
            after = self.log.revision if self._loaded else -1
            asked = await self._peers.changes(member, after, self.age_s(trio.current_time()))
            return asked.map(_optional)
        if not self._loaded:
            return (await self._store.listing()).map(_optional)
        if not self._sure:
            return await self._store.changes(self.log.revision, 0.0)
        with trio.CancelScope() as self._waiting:
            try:
                wait_s = WAIT_S if self.choice.reads_store else BRIEF_WAIT_S
                return await self._store.changes(self.log.revision, wait_s)
            finally:
                self._waiting = None
        return None

    def _apply(self, batch: Batch) -> None:
        if batch.whole and (not self._loaded or batch.revision > self.log.revision):
            self.log.replace(batch.records, batch.revision)
            self._loaded = True
            events = self._decoder.read_listing(batch.records)
        elif batch.whole:
            return
        else:
            news = self.log.add(batch.records, batch.revision)
            events = [event for record in news for event in self._decoder.read_change(record)]
        for event in events:
            self._feed(event)
        if events:
            self._wake()

    def _confirmed(self, at: float) -> None:
        """Take in that the store told of everything at `at`, and pass it on to the followers."""
        if at > self.confirmed_at + CONFIRM_STEP_S:
            self._wake()
        self.confirmed_at = max(self.confirmed_at, at)

    def _wake(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()


def _optional(batch: Batch) -> Batch | None:
    return batch
