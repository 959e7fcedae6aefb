"""Reads and writes the configuration and the verdicts of moves in the key-value store.

A write whose response is lost is retried. Each attempt expects the same store revision, so at most
one of them takes effect, and the change id in the history identifies the writer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_common.history import INDEX_KEY
from cactussaddle_common.history import expired_keys
from cactussaddle_common.history import history_key
from cactussaddle_common.history import next_index
from cactussaddle_common.history import read_index
from cactussaddle_common.storeapi import ABSENT
from cactussaddle_common.storeapi import StoreError
from cactussaddle_common.storeapi import StoreErrorKind
from cactussaddle_common.storeapi import SwapOutcome
from cactussaddle_core.config.model import ConfigDoc
from cactussaddle_core.config.model import decode_doc
from cactussaddle_core.config.model import encode_doc
from cactussaddle_core.config.verdict import VERDICT_PREFIX
from cactussaddle_core.config.verdict import Verdict
from cactussaddle_core.config.verdict import decode_verdict
from cactussaddle_core.config.verdict import verdict_key
from cactussaddle_core.exceptions import ConfigError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cactussaddle_common.history import HistoryIndex
    from cactussaddle_common.storeapi import Entry
    from cactussaddle_common.storeapi import Store

CONFIG_KEY = "/cactussaddle/config"
VERDICT_RETENTION_S = 30 * 86400.0
MAX_PRUNED_VERDICTS = 50
WRITE_ATTEMPTS = 3


class StoredConfig(NamedTuple):
    """The accepted configuration and the store revision to expect when it is replaced.

    `kept` is the index of the retained revisions; it changes only when the configuration changes.
    """

    doc: ConfigDoc
    mod_revision: int
    kept: HistoryIndex | None = None


class Accepted(NamedTuple):
    """The write took effect; `replaced_by` is the document that has replaced it since, if any."""

    doc: ConfigDoc
    replaced_by: ConfigDoc | None = None


class LostRace(NamedTuple):
    """Another write came first and this one had no effect; `current` is None after a deletion."""

    current: ConfigDoc | None


WriteOutcome = Accepted | LostRace


def malformed(exc: ConfigError) -> Failure[StoreError]:
    """Return the failure for a stored document that can't be decoded."""
    return Failure(StoreError(StoreErrorKind.REJECTED, f"invalid stored document: {exc}"))


async def read_config(store: Store) -> Result[StoredConfig | None, StoreError]:
    """Read the accepted configuration; None if none has been written yet."""
    found = await store.get(CONFIG_KEY)
    if isinstance(found, Failure):
        return Failure(found.failure())
    entry = found.unwrap()
    if entry is None:
        return Success(None)
    index = await read_index(store)
    if isinstance(index, Failure):
        return Failure(index.failure())
    try:
        return Success(StoredConfig(decode_doc(entry.value), entry.mod_revision, index.unwrap()))
    except ConfigError as exc:
        return malformed(exc)


async def read_revision(store: Store, revision: int) -> Result[ConfigDoc | None, StoreError]:
    """Read one revision from the history; None if it is not retained."""
    found = await store.get(history_key(revision))
    if isinstance(found, Failure):
        return Failure(found.failure())
    entry = found.unwrap()
    try:
        return Success(decode_doc(entry.value) if entry else None)
    except ConfigError as exc:
        return malformed(exc)


async def read_verdicts(store: Store) -> Result[dict[str, Verdict], StoreError]:
    """Read the final verdicts of all moves that have one, by move id."""
    found = await store.get_prefix(VERDICT_PREFIX)
    if isinstance(found, Failure):
        return Failure(found.failure())
    try:
        return Success(
            {
                entry.key.removeprefix(VERDICT_PREFIX): decode_verdict(entry.value)
                for entry in found.unwrap().entries
            }
        )
    except ConfigError as exc:
        return malformed(exc)


async def swap_with_retries(
    store: Store,
    key: str,
    value: bytes,
    expected_mod_revision: int,
    extra_puts: Sequence[tuple[str, bytes]] = (),
    delete_range: tuple[str, str] | None = None,
) -> Result[SwapOutcome, StoreError]:
    """Compare and swap, retried while it is unknown whether the write took effect.

    If an attempt took effect but its response was lost, a retry fails the comparison against
    its own value; the caller detects this from the stored content.
    """
    unknown: StoreError | None = None
    for _ in range(WRITE_ATTEMPTS):
        swap = await store.compare_and_swap(
            key, value, expected_mod_revision, extra_puts, delete_range=delete_range
        )
        if isinstance(swap, Success):
            return swap
        error = swap.failure()
        if error.kind is StoreErrorKind.UNKNOWN:
            unknown = error
        elif unknown is None:
            return swap
    return Failure(unknown) if unknown else swap


async def write_config(
    store: Store, doc: ConfigDoc, base: StoredConfig | None, history_bytes: int
) -> Result[WriteOutcome, StoreError]:
    """Replace the configuration unless it has changed since `base` was read (None: there was none).

    Old revisions that exceed `history_bytes` in total are deleted in the same transaction. A failure
    of kind UNKNOWN means that the outcome could not be determined within `WRITE_ATTEMPTS` attempts.
    """
    data = encode_doc(doc)
    previous_index = base.kept if base is not None else None
    index = next_index(previous_index, doc["revision"], len(data), history_bytes)
    expected = base.mod_revision if base is not None else ABSENT
    extra_puts = ((history_key(doc["revision"]), data), (INDEX_KEY, msgspec.json.encode(index)))
    swap = await swap_with_retries(
        store, CONFIG_KEY, data, expected, extra_puts, expired_keys(index)
    )
    if isinstance(swap, Failure):
        return Failure(swap.failure())
    if swap.unwrap().succeeded:
        return Success(Accepted(doc))
    return await resolve_lost_swap(store, doc, swap.unwrap().current)


async def resolve_lost_swap(
    store: Store, doc: ConfigDoc, current: Entry | None
) -> Result[WriteOutcome, StoreError]:
    """Determine whether a write that failed its comparison had taken effect in an earlier attempt."""
    try:
        current_doc = decode_doc(current.value) if current else None
    except ConfigError as exc:
        return malformed(exc)
    if current_doc and current_doc["change_id"] == doc["change_id"]:
        return Success(Accepted(doc))
    found = await read_revision(store, doc["revision"])
    if isinstance(found, Failure):
        return Failure(StoreError(StoreErrorKind.UNKNOWN, found.failure().detail))
    retained = found.unwrap()
    if retained and retained["change_id"] == doc["change_id"]:
        return Success(Accepted(doc, replaced_by=current_doc))
    return Success(LostRace(current_doc))


def expired_verdicts(doc: ConfigDoc, verdicts: Mapping[str, Verdict], wall: float) -> list[str]:
    """Return the moves, oldest first, whose verdicts have expired and that are not in the plan."""
    planned = {move["id"] for move in doc["moves"]}
    expired = [
        (verdict["at"], move_id)
        for move_id, verdict in verdicts.items()
        if verdict["at"] < wall - VERDICT_RETENTION_S and move_id not in planned
    ]
    return [move_id for _, move_id in sorted(expired)[:MAX_PRUNED_VERDICTS]]


async def prune_verdicts(
    store: Store, doc: ConfigDoc, verdicts: Mapping[str, Verdict], wall: float
) -> None:
    """Delete expired verdicts; stops at the first failure and leaves the rest for a later call."""
    for move_id in expired_verdicts(doc, verdicts, wall):
        if isinstance(await store.delete(verdict_key(move_id)), Failure):
            return


async def create_verdict(
    store: Store, move_id: str, verdict: Verdict
) -> Result[Verdict, StoreError]:
    """Create the verdict of a move unless it has one; return the stored verdict."""
    data = msgspec.json.encode(verdict)
    swap = await swap_with_retries(store, verdict_key(move_id), data, ABSENT)
    if isinstance(swap, Failure):
        return Failure(swap.failure())
    current = swap.unwrap().current
    if swap.unwrap().succeeded or current is None:
        return Success(verdict)
    try:
        return Success(decode_verdict(current.value))
    except ConfigError as exc:
        return malformed(exc)
