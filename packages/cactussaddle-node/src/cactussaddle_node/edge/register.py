"""Keeps this node registered in the store under a lease, which expires if the process ends."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import trio

from returns.result import Failure

from cactussaddle_core.edge.effects import LogEvent
from cactussaddle_core.edge.logevents import Registered
from cactussaddle_core.edge.logevents import RegistrationLost

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from cactussaddle_common.storeapi import StoreError

LEASE_S = 20.0
# A store reader renews more often than the lease requires, as a liveness check of the store.
READER_RENEW_INTERVAL_S = 1.0
RENEW_INTERVAL_S = 8.0
RENEW_TIMEOUT_S = 0.8
REGISTER_RETRY_DELAY_S = 0.5


class RegistrationStore(Protocol):
    """Store operations for a node's registration."""

    async def write_entry(self, ttl_s: float) -> Result[int, StoreError]:
        """Write the node's entry under a new lease of `ttl_s`; return the lease's id."""
        ...

    async def renew_lease(self, lease: int, timeout_s: float) -> Result[bool, StoreError]:
        """Renew a lease; False when it has expired."""
        ...


class RegisterHooks(NamedTuple):
    """Callbacks of the registration task.

    `note` logs an event; `answered` is called after each renewal, `unanswered` with the reason
    after a failed one. `reads_store` returns whether this node is a store reader.
    """

    note: Callable[[LogEvent], None]
    answered: Callable[[], None]
    unanswered: Callable[[str], None]
    reads_store: Callable[[], bool]


async def register(store: RegistrationStore, hooks: RegisterHooks) -> None:
    """Register the node, renew its lease, and register again whenever the lease has expired."""
    while True:
        entered = await store.write_entry(LEASE_S)
        if isinstance(entered, Failure):
            hooks.note(LogEvent(RegistrationLost(entered.failure().detail)))
            await trio.sleep(REGISTER_RETRY_DELAY_S)
            continue
        lease = entered.unwrap()
        hooks.note(LogEvent(Registered(lease)))
        await _renew_until_expired(store, lease, hooks)
        hooks.note(LogEvent(RegistrationLost("lease expired")))


async def _renew_until_expired(store: RegistrationStore, lease: int, hooks: RegisterHooks) -> None:
    """Renew the lease until the store reports that it has expired."""
    while True:
        await trio.sleep(READER_RENEW_INTERVAL_S if hooks.reads_store() else RENEW_INTERVAL_S)
        kept = await store.renew_lease(lease, RENEW_TIMEOUT_S)
        if isinstance(kept, Failure):
            hooks.unanswered(f"lease renewal failed: {kept.failure().detail}")
        elif kept.unwrap():
            hooks.answered()
        else:
            return
