"""Keeps this node's entry in the store, under a lease that ends with the process."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import trio

from returns.result import Failure

from cactussaddle_core.edge.effects import Note
from cactussaddle_platform.kv import Put
from cactussaddle_platform.names import NODE_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_platform.kv import KvStore
    from cactussaddle_platform.settings import HostSettings

LEASE_S = 9.0
# Renewals also tell whether the store answers, so they are more frequent than the lease needs.
KEEP_EVERY_S = 1.0
KEEP_TIMEOUT_S = 0.8
RETRY_S = 0.5


class NodeRecord(NamedTuple):
    """What a node says of itself."""

    ip: str
    domain: str


class RegisterHooks(NamedTuple):
    """`note` takes log lines, `unanswered` the reason why a renewal failed."""

    note: Callable[[Note], None]
    unanswered: Callable[[str], None]


async def register(store: KvStore, cfg: HostSettings, hooks: RegisterHooks) -> None:
    """Register, renew, and register again whenever the lease has ended."""
    value = msgspec.json.encode(NodeRecord(cfg.ip, cfg.domain))
    while True:
        lease = await _enter(store, NODE_PREFIX + cfg.node, value)
        if lease is None:
            await trio.sleep(RETRY_S)
            continue
        hooks.note(Note("registered", {"lease": lease}))
        await _keep(store, lease, hooks)
        hooks.note(Note("registration_lost", {"lease": lease}))


async def _enter(store: KvStore, key: str, value: bytes) -> int | None:
    opened = await store.open_lease(LEASE_S)
    if isinstance(opened, Failure):
        return None
    lease = opened.unwrap().lease
    written = await store.write([], [Put(key, value, lease)], [])
    if isinstance(written, Failure) or not written.unwrap().done:
        return None
    return lease


async def _keep(store: KvStore, lease: int, hooks: RegisterHooks) -> None:
    """Renew the lease until the store says that it has ended."""
    while True:
        await trio.sleep(KEEP_EVERY_S)
        kept = await store.keep_lease(lease, KEEP_TIMEOUT_S)
        if isinstance(kept, Failure):
            hooks.unanswered(f"renewal: {kept.failure().detail}")
        elif not kept.unwrap():
            return
