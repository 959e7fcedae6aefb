"""The configuration and the verdicts of moves in the store.

A write whose answer is lost is sent again: it expects the same store revision, so it can take
effect once at the most, and the change id in the history tells whose write it was.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_common.history import INDEX_KEY
from cactussaddle_common.history import history_key
from cactussaddle_common.history import next_index
from cactussaddle_common.history import outdated
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
KEPT_VERDICTS_S = 30 * 86400.0
MAX_PRUNED = 50
WRITE_ATTEMPTS = 3


class StoredConfig(NamedTuple):
    """The accepted configuration and the store revision to expect when it is replaced.

    `kept` tells the sizes of the revisions kept; it changes with the configuration only.
    """

    doc: ConfigDoc
    mod_revision: int
    kept: HistoryIndex | None = None


class Accepted(NamedTuple):
    """The write took effect; `replaced_by` is a later document, if another came since."""

    doc: ConfigDoc
    replaced_by: ConfigDoc | None = None


class LostRace(NamedTuple):
    """Another write came first; this one had no effect. `current` is None if it was deleted."""

    current: ConfigDoc | None


WriteOutcome = Accepted | LostRace


def malformed(exc: ConfigError) -> Failure[StoreError]:
    """Return the failure for a stored document that can't be read."""
    return Failure(StoreError(StoreErrorKind.REJECTED, f"the stored document: {exc}"))


async def read_config(store: Store) -> Result[StoredConfig | None, StoreError]:
    """Read the accepted configuration; None when there is none yet."""
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
    """Read one revision from the history; None when it is not kept."""
    found = await store.get(history_key(revision))
    if isinstance(found, Failure):
        return Failure(found.failure())
    entry = found.unwrap()
    try:
        return Success(decode_doc(entry.value) if entry else None)
    except ConfigError as exc:
        return malformed(exc)


async def read_verdicts(store: Store) -> Result[dict[str, Verdict], StoreError]:
    """Read the final verdict of each move that has one, by move id."""
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


async def swap_surely(
    store: Store,
    key: str,
    value: bytes,
    expected_mod_revision: int,
    also: Sequence[tuple[str, bytes]] = (),
    drop: tuple[str, str] | None = None,
) -> Result[SwapOutcome, StoreError]:
    """Compare and swap, sent again while it is unknown whether it took effect.

    A write that won and lost its answer shows as lost to itself; the caller tells by the content.
    """
    unknown: StoreError | None = None
    for _ in range(WRITE_ATTEMPTS):
        swap = await store.compare_and_swap(key, value, expected_mod_revision, also, drop=drop)
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
    """Replace the configuration if nobody else did since `base` was read (None: there was none).

    Old revisions beyond `history_bytes` in all are deleted in the same transaction. A failure of
    kind UNKNOWN means that the store could not tell within some attempts.
    """
    data = encode_doc(doc)
    known = base.kept if base is not None else None
    index = next_index(known, doc["revision"], len(data), history_bytes)
    expected = base.mod_revision if base is not None else ABSENT
    also = ((history_key(doc["revision"]), data), (INDEX_KEY, msgspec.json.encode(index)))
    swap = await swap_surely(store, CONFIG_KEY, data, expected, also, outdated(index))
    if isinstance(swap, Failure):
        return Failure(swap.failure())
    if swap.unwrap().won:
        return Success(Accepted(doc))
    return await settle_lost(store, doc, swap.unwrap().current)


async def settle_lost(
    store: Store, doc: ConfigDoc, current: Entry | None
) -> Result[WriteOutcome, StoreError]:
    """Tell whether a write that lost had won before, its answer lost."""
    try:
        standing = decode_doc(current.value) if current else None
    except ConfigError as exc:
        return malformed(exc)
    if standing and standing["change_id"] == doc["change_id"]:
        return Success(Accepted(doc))
    kept = await read_revision(store, doc["revision"])
    if isinstance(kept, Failure):
        return Failure(StoreError(StoreErrorKind.UNKNOWN, kept.failure().detail))
    mine = kept.unwrap()
    if mine and mine["change_id"] == doc["change_id"]:
        return Success(Accepted(doc, replaced_by=standing))
    return Success(LostRace(standing))


def stale_verdicts(doc: ConfigDoc, verdicts: Mapping[str, Verdict], wall: float) -> list[str]:
    """Return moves, oldest first, whose verdicts need not be kept: long past, not in the plan."""
    planned = {move["id"] for move in doc["moves"]}
    old = [
        (verdict["at"], move_id)
        for move_id, verdict in verdicts.items()
        if verdict["at"] < wall - KEPT_VERDICTS_S and move_id not in planned
    ]
    return [move_id for _, move_id in sorted(old)[:MAX_PRUNED]]


async def prune_verdicts(
    store: Store, doc: ConfigDoc, verdicts: Mapping[str, Verdict], wall: float
) -> None:
    """Delete verdicts that need not be kept; what can't be deleted now is left for later."""
    for move_id in stale_verdicts(doc, verdicts, wall):
        if isinstance(await store.delete(verdict_key(move_id)), Failure):
            return


async def create_verdict(
    store: Store, move_id: str, verdict: Verdict
) -> Result[Verdict, StoreError]:
    """Create the verdict of a move unless it has one; return the one that stands."""
    data = msgspec.json.encode(verdict)
    swap = await swap_surely(store, verdict_key(move_id), data, ABSENT)
    if isinstance(swap, Failure):
        return Failure(swap.failure())
    current = swap.unwrap().current
    if swap.unwrap().won or current is None:
        return Success(verdict)
    try:
        return Success(decode_verdict(current.value))
    except ConfigError as exc:
        return malformed(exc)
