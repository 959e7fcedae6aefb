"""Keeps a local copy of the store's records up to date, from other nodes or from the store itself.

An answer can be lost while its connection shows no error. So every request, to the store or to another
node, asks for an answer within a short time even without changes, and an ordinary time-out detects
that it was lost. The age of the records is counted from answers alone: nothing else proves that no
change was missed.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import Protocol

import trio

from returns.result import Failure

from cactussaddle_core.edge import events as ev
from cactussaddle_core.spread.asking import StoreTimeout
from cactussaddle_core.spread.asking import poll_of
from cactussaddle_core.spread.asking import watch_s
from cactussaddle_core.spread.choice import STALE_S
from cactussaddle_core.spread.choice import SourceSelector
from cactussaddle_core.spread.choice import source_name
from cactussaddle_core.spread.log import RecordLog
from cactussaddle_core.spread.outage import OutageTracker
from cactussaddle_core.spread.proof import proven_by_node
from cactussaddle_core.spread.proof import proven_by_store
from cactussaddle_core.spread.restore import LostRecords
from cactussaddle_core.spread.timing import NODE_PAUSE_S
from cactussaddle_core.spread.timing import RETRY_PAUSE_S
from cactussaddle_core.spread.timing import STORE_PAUSE_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from returns.result import Result

    from cactussaddle_common.storeapi import StoreError
    from cactussaddle_core.spread.model import Batch
    from cactussaddle_core.spread.model import Member
    from cactussaddle_core.spread.model import Poll
    from cactussaddle_core.spread.model import Record

# Followers are notified of a new confirmation by the store only if it is newer by at least this.
MIN_CONFIRMATION_STEP_S = 0.3
# Logged as the age when the store has never answered.
MAX_AGE_S = 1e6
NO_RECORDS = -1
OUTDATED = "listing is older than the local records"
EARLIER_WATCH = "answer to an earlier watch"


class StoreSource(Protocol):
    """Reads records from the store."""

    async def listing(self) -> Result[Batch, StoreError]:
        """Read all records."""
        ...

    async def changes(
        self, after: int, wait_s: float, timeout_s: float
    ) -> Result[Batch | None, StoreError]:
        """Wait up to `wait_s` for changes after a revision; None when they have been compacted.

        Fails if there is no answer `timeout_s` after that. An answer of a lower revision than `after` may
        belong to an earlier request.
        """
        ...


class PeerSource(Protocol):
    """Reads records from other nodes."""

    async def changes(self, member: Member, poll: Poll) -> Result[Batch, StoreError]:
        """Ask a node for changes.

        The node answers at once if it has changes or a later confirmation, otherwise when its wait
        is over at the latest.
        """
        ...


class Decoder(Protocol):
    """Converts records to events of the node."""

    def read_change(self, record: Record) -> list[ev.Event]:
        """Return the events for one record."""
        ...

    def combine_listing(self, events: list[ev.Event]) -> list[ev.Event]:
        """Return the events for a complete listing, given those of its records."""
        ...

    def is_rewritten(self, key: str) -> bool:
        """Return whether a record that the store has lost is written again by its writer."""
        ...


class Follower:
    """Reads records from the store or another node and feeds changes as events.

    `changed` is set, and replaced by a new event, whenever records change or the store confirms
    them again. `clock` should also count the suspension of the host, as the records age meanwhile. After
    each answer, `confirmed` is called with the time at which the records were certainly current, by that
    clock, once their events have been fed.
    """

    def __init__(
        self,
        *,
        store: StoreSource,
        peers: PeerSource,
        decoder: Decoder,
        feed: Callable[[ev.Event], None],
        clock: Callable[[], float] = trio.current_time,
        confirmed: Callable[[float], None] | None = None,
    ) -> None:
        self.clock = clock
        self.log = RecordLog()
        self.choice = SourceSelector()
        self.outages = OutageTracker()
        self.changed = trio.Event()
        self.confirmed_at = -math.inf
        self._store = store
        self._peers = peers
        self._decoder = decoder
        self._feed = feed
        self._confirmed = confirmed
        self._loaded = False
        self._watch_failed = False
        self._store_timeout = StoreTimeout()
        self._lost = LostRecords()

    def age_s(self, now: float) -> float:
        """Return the time since the store confirmed the local records as current."""
        return now - self.confirmed_at

    async def run(self) -> None:
        """Read from the current source until cancelled."""
        while True:
            asked_at = self.clock()
            self._drop_lost(asked_at)
            member = self.choice.pick(asked_at, self.age_s(asked_at))
            if member is None:
                is_fresh, pause_s = await self._ask_store(asked_at), STORE_PAUSE_S
            else:
                is_fresh, pause_s = await self._ask_node(member, asked_at), NODE_PAUSE_S
            if not is_fresh:
                pause_s = max(RETRY_PAUSE_S, self.choice.wait_s(self.clock()))
            await trio.sleep(pause_s)

    async def _ask_node(self, member: Member, asked_at: float) -> bool:
        """Ask a node once; return whether it answered with fresh records."""
        after = self.log.revision if self._loaded else NO_RECORDS
        outcome = await self._peers.changes(
            member, poll_of(after, self.age_s(asked_at), self.log.era)
        )
        now = self.clock()
        if isinstance(outcome, Failure):
            self._source_failed(outcome.failure().detail, member)
            return False
        batch = outcome.unwrap()
        proven_at = proven_by_node(asked_at, batch, now)
        if self.log.is_outdated(batch):
            self._source_failed(OUTDATED, member)
            return False
        if self._must_list(batch):
            return True
        if now - proven_at > STALE_S:
            if not self.log.is_restored(batch):
                self._apply(batch)
            self._source_failed("stale", member)
            return False
        self.outages.confirmed_by_node(proven_at, batch.in_service_s, now)
        self._accept(member, batch, proven_at)
        return True

    async def _ask_store(self, asked_at: float) -> bool:
        """Ask the store once; return whether it answered."""
        wait_s = self._watch_s(asked_at)
        outcome = await self._read_store(wait_s)
        now = self.clock()
        if isinstance(outcome, Failure):
            self._store_failed(outcome.failure().detail, wait_s)
            return False
        batch = outcome.unwrap()
        if batch is not None and self._is_of_earlier_watch(batch):
            self._store_failed(EARLIER_WATCH, wait_s)
            return False
        self._watch_failed = False
        if batch is None:
            self._loaded = False
            return True
        if not batch.records:
            self._store_timeout.answered(now - asked_at - wait_s)
        if self.log.is_outdated(batch):
            self._source_failed(OUTDATED, None)
            return False
        if self._must_list(batch):
            return True
        # How long a watch took says nothing about the store: it waits for changes.
        self.outages.answered(now if wait_s > 0.0 else asked_at, now)
        self._accept(None, batch, proven_by_store(asked_at, wait_s, batch, now))
        return True

    async def _read_store(self, wait_s: float) -> Result[Batch | None, StoreError]:
        if not self._loaded:
            return (await self._store.listing()).map(_optional)
        return await self._store.changes(self.log.revision, wait_s, self._store_timeout.seconds)

    def _watch_s(self, now: float) -> float:
        """Return how long the next request to the store waits for changes."""
        if self._watch_failed or not self._loaded:
            return 0.0
        return watch_s(self.age_s(now), reads_store=self.choice.reads_store)

    def _store_failed(self, reason: str, wait_s: float) -> None:
        if wait_s > 0.0:
            # One lost answer is no outage: the store is asked again, without a wait.
            self._watch_failed = True
            self._report_store_lost(f"watch: {reason}", None)
            return
        self._store_timeout.missed()
        self.outages.request_failed(self.clock())
        self._source_failed(reason, None)

    def _source_failed(self, reason: str, member: Member | None) -> None:
        self.choice.failed(member, self.clock())
        self._report_store_lost(reason, member)

    def _is_of_earlier_watch(self, batch: Batch) -> bool:
        """Return whether changes are older than those asked for, though the store was not restored."""
        is_older = not batch.whole and batch.revision < self.log.revision
        return is_older and not self.log.is_restored(batch)

    def _must_list(self, batch: Batch) -> bool:
        """Return whether all records must be read again, as the store has come back from an older copy."""
        if batch.whole or not self.log.is_restored(batch):
            return False
        self._loaded = False
        return True

    def _accept(self, member: Member | None, batch: Batch, proven_at: float) -> None:
        now = self.clock()
        if self.log.is_restored(batch):
            self._restored(batch)
        self._record_confirmation(proven_at)
        self.choice.answered(member)
        outage_ended_s = now - self.outages.outage_ended_at
        age_s = self.age_s(now)
        self._feed(ev.StoreBack(source_name(member), batch.revision, age_s, outage_ended_s))
        self._apply(batch)
        if self._confirmed is not None:
            self._confirmed(self.confirmed_at)

    def _report_store_lost(self, reason: str, member: Member | None) -> None:
        age_s = min(self.age_s(self.clock()), MAX_AGE_S)
        self._feed(ev.StoreLost(reason, source_name(member), age_s))

    def _apply(self, batch: Batch) -> None:
        is_restored = self.log.is_restored(batch)
        if batch.whole and (is_restored or not self._loaded or batch.revision > self.log.revision):
            self.log.replace(batch.records, batch.revision)
            self._loaded = True
            self._lost.written(batch.records)
            listed = (*batch.records, *self._lost.records())
            events = self._decoder.combine_listing(self._decode(listed))
        elif batch.whole:
            return
        else:
            self._lost.written(batch.records)
            events = self._decode(self.log.add(batch.records, batch.revision))
        self.log.era = batch.era or self.log.era
        for event in events:
            self._feed(event)
        if events:
            self._notify_followers()

    def _restored(self, batch: Batch) -> None:
        """Keep what the writers will write again, of the records that the store's copy lacks."""
        now = self.clock()
        missing = self.log.missing_from(batch.records)
        lost = [record for record in missing if self._decoder.is_rewritten(record.key)]
        self._lost.restored(lost, now)
        self.outages.restored(now)
        self._feed(ev.StoreRestored(batch.era or 0, len(lost)))

    def _drop_lost(self, now: float) -> None:
        """Drop the records that were lost by the store and that nobody has written again."""
        for record in self._lost.take_expired(now):
            for event in self._decode([record]):
                self._feed(event)

    def _decode(self, records: Iterable[Record]) -> list[ev.Event]:
        """Decode records; one that can't be decoded must not keep the others from being applied."""
        events: list[ev.Event] = []
        for record in records:
            try:
                events += self._decoder.read_change(record)
            except Exception as exc:
                events.append(ev.RecordRejected(record.key, f"unexpected error: {exc!r}"))
        return events

    def _record_confirmation(self, at: float) -> None:
        """Record that the local records were current at `at`, and notify followers."""
        if at > self.confirmed_at + MIN_CONFIRMATION_STEP_S:
            self._notify_followers()
        self.confirmed_at = max(self.confirmed_at, at)

    def _notify_followers(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()


def _optional(batch: Batch) -> Batch | None:
    return batch
