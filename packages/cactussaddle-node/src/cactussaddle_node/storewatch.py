"""Reads documents from the store, follows their changes and writes the placement."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import trio

from returns.result import Success

from cactussaddle_common.storeapi import ABSENT
from cactussaddle_core.node.documents import PLACEMENT
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.node.events import StoreSeen

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.storeapi import Store
    from cactussaddle_core.node.effects import WritePlacement

PLACEMENT_KEY = "/cactussaddle/placement"
CONFIG_KEY = "/cactussaddle/config"
RETRY_INTERVAL_S = 0.5
REREAD_INTERVAL_S = 60.0


class PlacementEpoch(msgspec.Struct):
    """The field of a stored placement that orders it among its versions."""

    epoch: int


class WatchRole(NamedTuple):
    """Whether this node watches the store for the other nodes and considers the store up."""

    is_watcher: Callable[[], bool]
    store_is_up: Callable[[], bool]


async def follow(
    store: Store, key: str, name: str, feed: Callable[[Any], None], role: WatchRole
) -> None:
    """Feed the document at `key` now and, while this node is a watcher, after each change.

    Other nodes read it again every `REREAD_INTERVAL_S`, in case no watcher could send them a change. The
    store returns it only if it has changed since the last read.
    """
    known_revision = 0
    while True:
        outcome = await store.get(key, known_revision)
        feed(StoreSeen(isinstance(outcome, Success)))
        if not isinstance(outcome, Success):
            known_revision = 0
            await trio.sleep(RETRY_INTERVAL_S)
            continue
        entry = outcome.unwrap()
        if entry is not None:
            known_revision = entry.mod_revision
            feed(DocSeen(name, entry.value, "store"))
        if role.is_watcher():
            await _watch(store, key, name, feed, known_revision, role)
            known_revision = 0
        await wait_before_reread(role)


async def wait_before_reread(role: WatchRole) -> None:
    """Wait before the next read.

    The wait is `RETRY_INTERVAL_S`, or up to `REREAD_INTERVAL_S` while the store is up and this node is not a watcher.
    """
    waited_s = 0.0
    while waited_s < RETRY_INTERVAL_S or (
        waited_s < REREAD_INTERVAL_S and not role.is_watcher() and role.store_is_up()
    ):
        await trio.sleep(RETRY_INTERVAL_S)
        waited_s += RETRY_INTERVAL_S


async def write_placement(
    store: Store, effect: WritePlacement, feed: Callable[[Any], None]
) -> None:
    """Replace the placement of the preceding epoch.

    Feeds the placement that the store then holds: the new one if the write succeeded, or the stored
    one if it is not of the preceding epoch, or can't be read.
    """
    outcome = await store.get(PLACEMENT_KEY)
    if not isinstance(outcome, Success):
        return
    entry = outcome.unwrap()
    stored_epoch = 0 if entry is None else _read_epoch(entry.value)
    if entry is not None and stored_epoch != effect.epoch - 1:
        feed(DocSeen(PLACEMENT, entry.value, "store"))
        return
    revision = ABSENT if entry is None else entry.mod_revision
    swapped = await store.compare_and_swap(PLACEMENT_KEY, effect.data, revision)
    if isinstance(swapped, Success) and swapped.unwrap().succeeded:
        feed(DocSeen(PLACEMENT, effect.data, "store"))


def _read_epoch(value: bytes) -> int | None:
    try:
        return msgspec.json.decode(value, type=PlacementEpoch).epoch
    except (msgspec.MsgspecError, RecursionError):
        return None


async def _watch(
    store: Store,
    key: str,
    name: str,
    feed: Callable[[Any], None],
    known_revision: int,
    role: WatchRole,
) -> None:
    """Follow changes until the watch fails or this node is no longer a watcher."""
    async with store.watch(key, known_revision + 1) as batches:
        async for batch in batches:
            if not isinstance(batch, Success):
                return
            feed(StoreSeen(True))
            for event in batch.unwrap().events:
                if event.value is not None and event.key == key:
                    feed(DocSeen(name, event.value, "store"))
            if not role.is_watcher():
                return
