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
    import random

    from collections.abc import Callable

    from returns.result import Result

    from cactussaddle_common.storeapi import StoreError

LEASE_S = 20.0
RENEW_INTERVAL_S = 8.0
# After a renewal without an answer; several fit into what is left of the lease.
RENEW_RETRY_DELAY_S = 1.0
RENEW_TIMEOUT_S = 0.8
REGISTER_RETRY_DELAY_S = 0.5
# The store may end all entries at once; the nodes then spread their writes over this time.
REGISTER_SPREAD_S = 1.5


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

    `note` logs an event; `entry_gone` returns an event that is set once the node's entry is removed;
    `rng` spreads the writes of many nodes.
    """

    note: Callable[[LogEvent], None]
    entry_gone: Callable[[], trio.Event]
    rng: random.Random


async def register(store: RegistrationStore, hooks: RegisterHooks) -> None:
    """Register the node, renew its lease, and register again when the lease or the entry has gone.

    A write of the entry that got no answer may be carried out late, under a lease that nobody renews;
    the entry is then removed although the present lease is renewed.
    """
    while True:
        entry_gone = hooks.entry_gone()
        entered = await store.write_entry(LEASE_S)
        if isinstance(entered, Failure):
            hooks.note(LogEvent(RegistrationLost(entered.failure().detail)))
            await trio.sleep(REGISTER_RETRY_DELAY_S)
            continue
        lease = entered.unwrap()
        hooks.note(LogEvent(Registered(lease)))
        reason = await _renew_while_registered(store, lease, entry_gone)
        hooks.note(LogEvent(RegistrationLost(reason)))
        await trio.sleep(hooks.rng.uniform(0.0, REGISTER_SPREAD_S))


async def _renew_while_registered(
    store: RegistrationStore, lease: int, entry_gone: trio.Event
) -> str:
    """Renew the lease; return why the node is no longer registered."""
    wait_s = RENEW_INTERVAL_S
    while True:
        with trio.move_on_after(wait_s):
            await entry_gone.wait()
            return "entry removed"
        kept = await store.renew_lease(lease, RENEW_TIMEOUT_S)
        answered = not isinstance(kept, Failure)
        if answered and not kept.unwrap():
            return "lease expired"
        wait_s = RENEW_INTERVAL_S if answered else RENEW_RETRY_DELAY_S
