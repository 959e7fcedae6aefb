"""Reads stored documents and follows their changes."""

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
RETRY_S = 0.5
REREAD_S = 60.0


class Epoch(msgspec.Struct):
    """The part of a stored placement that tells its age."""

    epoch: int


class Role(NamedTuple):
    """Whether this node watches the store for the others, and whether it thinks the store is up."""

    is_watcher: Callable[[], bool]
    store_is_up: Callable[[], bool]


async def follow(
    store: Store, key: str, name: str, feed: Callable[[Any], None], role: Role
) -> None:
    """Feed the document at `key` now and, while this node is a watcher, after each change.

    A node that is none reads the document again each `REREAD_S`, in case no watcher could tell it;
    the store sends it only when it has changed since.
    """
    seen = 0
    while True:
        outcome = await store.get(key, seen)
        feed(StoreSeen(isinstance(outcome, Success)))
        if not isinstance(outcome, Success):
            seen = 0
            await trio.sleep(RETRY_S)
            continue
        entry = outcome.unwrap()
        if entry is not None:
            seen = entry.mod_revision
            feed(DocSeen(name, entry.value, "store"))
        if role.is_watcher():
            await _watch(store, key, name, feed, seen, role)
            seen = 0
        await pause(role)


async def pause(role: Role) -> None:
    """Wait before the next read: a moment, or long while nothing asks for one."""
    waited_s = 0.0
    while waited_s < RETRY_S or (
        waited_s < REREAD_S and not role.is_watcher() and role.store_is_up()
    ):
        await trio.sleep(RETRY_S)
        waited_s += RETRY_S


async def write_placement(
    store: Store, effect: WritePlacement, feed: Callable[[Any], None]
) -> None:
    """Write a placement over the one of the epoch before; feed whatever stands in the store then."""
    outcome = await store.get(PLACEMENT_KEY)
    if not isinstance(outcome, Success):
        return
    entry = outcome.unwrap()
    stored_epoch = 0 if entry is None else msgspec.json.decode(entry.value, type=Epoch).epoch
    if entry is not None and stored_epoch != effect.epoch - 1:
        feed(DocSeen(PLACEMENT, entry.value, "store"))
        return
    revision = ABSENT if entry is None else entry.mod_revision
    swapped = await store.compare_and_swap(PLACEMENT_KEY, effect.data, revision)
    if isinstance(swapped, Success) and swapped.unwrap().won:
        feed(DocSeen(PLACEMENT, effect.data, "store"))


async def _watch(
    store: Store,
    key: str,
    name: str,
    feed: Callable[[Any], None],
    seen_revision: int,
    role: Role,
) -> None:
    """Follow changes until the watch fails or is another node's to keep."""
    async with store.watch(key, seen_revision + 1) as batches:
        async for batch in batches:
            if not isinstance(batch, Success):
                return
            feed(StoreSeen(True))
            for event in batch.unwrap().events:
                if event.value is not None and event.key == key:
                    feed(DocSeen(name, event.value, "store"))
            if not role.is_watcher():
                return
