"""Writes at-most-once records, and writes and follows the final states of moves."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio

from returns.result import Success

from cactussaddle_common import logs
from cactussaddle_common.storeapi import ABSENT
from cactussaddle_common.storeapi import StoreErrorKind
from cactussaddle_common.storeapi import Update
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.config.verdict import VERDICT_PREFIX
from cactussaddle_core.config.verdict import Verdict
from cactussaddle_core.config.verdict import decode_verdict
from cactussaddle_core.config.verdict import verdict_key
from cactussaddle_core.exceptions import ConfigError
from cactussaddle_core.node.events import FinalSeen
from cactussaddle_core.node.events import RecordsWritten
from cactussaddle_core.once import StoreStatus
from cactussaddle_core.once import WriteResult
from cactussaddle_node.storewatch import RETRY_INTERVAL_S
from cactussaddle_node.storewatch import wait_before_reread

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.storeapi import Store
    from cactussaddle_common.storeapi import SwapOutcome
    from cactussaddle_core.node.effects import RecordMove
    from cactussaddle_core.node.effects import WriteRecords
    from cactussaddle_node.storewatch import WatchRole

ONCE_PREFIX = "/cactussaddle/once/"
WRITE_TIMEOUT_S = 1.0
RECORD_RETENTION_S = 48 * 3600
LEASE_REUSE_S = 3600


class RecordLease:
    """The lease to which new records are bound; it is replaced after `LEASE_REUSE_S`.

    Records must outlive their writer, so the lease is neither renewed nor revoked.
    """

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._lease_id = 0
        self._granted_at = 0.0

    async def current(self, now: float) -> int:
        """Return the lease for records written at `now`.

        It is 0 while no lease has been granted yet; records written then never expire.
        """
        if self._lease_id and now - self._granted_at < LEASE_REUSE_S:
            return self._lease_id
        outcome = await self._store.lease_grant(RECORD_RETENTION_S + LEASE_REUSE_S)
        if isinstance(outcome, Success):
            self._lease_id = outcome.unwrap()
            self._granted_at = now
        return self._lease_id


async def write_records(
    store: Store, lease: RecordLease, effect: WriteRecords, feed: Callable[[Any], None]
) -> None:
    """Write a batch in one transaction and feed the outcome."""
    updates = [
        Update(ONCE_PREFIX + write.key, write.value, write.expect_revision)
        for write in effect.writes
    ]
    outcome: Any = None
    with trio.move_on_after(WRITE_TIMEOUT_S):
        lease_id = await lease.current(trio.current_time())
        outcome = await store.update_many(updates, lease_id)
    if isinstance(outcome, Success):
        pairs = zip(effect.writes, outcome.unwrap(), strict=True)
        results = tuple(_write_result(write.key, swap) for write, swap in pairs)
        feed(RecordsWritten(effect.intents, effect.batch_id, StoreStatus.OK, results))
        return
    lost = outcome is None or outcome.failure().kind is StoreErrorKind.UNKNOWN
    status = StoreStatus.LOST if lost else StoreStatus.UNAVAILABLE
    feed(RecordsWritten(effect.intents, effect.batch_id, status, ()))


async def record_move(
    store: Store, node: str, effect: RecordMove, feed: Callable[[Any], None]
) -> None:
    """Store the final state of a move unless one exists, and feed the one that the store holds."""
    verdict: Verdict = {
        "state": effect.state.value,
        "at": time.time(),
        "reason": effect.reason,
        "node": node,
        "row": effect.row,
    }
    key = verdict_key(effect.move)
    outcome = await store.compare_and_swap(key, msgspec.json.encode(verdict), ABSENT)
    if not isinstance(outcome, Success):
        return
    swap = outcome.unwrap()
    if swap.succeeded:
        logs.log("move_final", move=effect.move, state=effect.state.value, reason=effect.reason)
        feed(FinalSeen(effect.move, effect.state))
    elif swap.current is not None:
        _feed_final_state(effect.move, swap.current.value, feed)


async def follow_final_states(store: Store, feed: Callable[[Any], None], role: WatchRole) -> None:
    """Feed the stored final states of moves and, while this node is a watcher, also new ones."""
    while True:
        outcome = await store.get_prefix(VERDICT_PREFIX)
        if isinstance(outcome, Success):
            snapshot = outcome.unwrap()
            for entry in snapshot.entries:
                _feed_final_state(entry.key.removeprefix(VERDICT_PREFIX), entry.value, feed)
            if role.is_watcher():
                await _watch_final_states(store, snapshot.revision + 1, feed, role)
            await wait_before_reread(role)
        else:
            await trio.sleep(RETRY_INTERVAL_S)


async def _watch_final_states(
    store: Store, from_revision: int, feed: Callable[[Any], None], role: WatchRole
) -> None:
    async with store.watch(VERDICT_PREFIX, from_revision) as batches:
        async for batch in batches:
            if not isinstance(batch, Success):
                return
            for event in batch.unwrap().events:
                if event.value is not None:
                    _feed_final_state(event.key.removeprefix(VERDICT_PREFIX), event.value, feed)
            if not role.is_watcher():
                return


def _feed_final_state(move: str, value: bytes, feed: Callable[[Any], None]) -> None:
    try:
        verdict = decode_verdict(value)
    except ConfigError as exc:
        logs.error("verdict_malformed", move=move, reason=str(exc))
        return
    feed(FinalSeen(move, MoveState(verdict["state"])))


def _write_result(key: str, swap: SwapOutcome) -> WriteResult:
    if swap.succeeded:
        return WriteResult(key, True, swap.revision)
    if swap.current is None:
        return WriteResult(key, False, ABSENT)
    return WriteResult(key, False, swap.current.mod_revision, swap.current.value)
