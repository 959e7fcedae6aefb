"""Keeps this node's entry in the store, under a lease that ends with the process."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import trio

from returns.result import Failure

from cactussaddle_core.edge.effects import Note
from cactussaddle_core.edge.logevents import Registered
from cactussaddle_core.edge.logevents import RegistrationLost

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from cactussaddle_common.storeapi import StoreError

LEASE_S = 20.0
# A node that reads the store renews more often than the lease needs: it shows that the store answers.
KEEP_EVERY_S = 1.0
KEEP_SELDOM_S = 8.0
KEEP_TIMEOUT_S = 0.8
RETRY_S = 0.5


class Leases(Protocol):
    """The store as far as a node's entry goes."""

    async def enter(self, lasts_s: float) -> Result[int, StoreError]:
        """Write the entry under a new lease; return the lease."""
        ...

    async def keep_lease(self, lease: int, timeout_s: float) -> Result[bool, StoreError]:
        """Renew a lease; False when it has ended."""
        ...


class RegisterHooks(NamedTuple):
    """`note` takes log lines; `answered` hears of each renewal, `unanswered` why one failed.

    `reads_store` says whether this node reads the store for others.
    """

    note: Callable[[Note], None]
    answered: Callable[[], None]
    unanswered: Callable[[str], None]
    reads_store: Callable[[], bool]


async def register(store: Leases, hooks: RegisterHooks) -> None:
    """Register, renew, and register again whenever the lease has ended."""
    while True:
        entered = await store.enter(LEASE_S)
        if isinstance(entered, Failure):
            hooks.note(Note(RegistrationLost(entered.failure().detail)))
            await trio.sleep(RETRY_S)
            continue
        lease = entered.unwrap()
        hooks.note(Note(Registered(lease)))
        await _keep(store, lease, hooks)
        hooks.note(Note(RegistrationLost("the lease has ended")))


async def _keep(store: Leases, lease: int, hooks: RegisterHooks) -> None:
    """Renew the lease until the store says that it has ended."""
    while True:
        await trio.sleep(KEEP_EVERY_S if hooks.reads_store() else KEEP_SELDOM_S)
        kept = await store.keep_lease(lease, KEEP_TIMEOUT_S)
        if isinstance(kept, Failure):
            hooks.unanswered(f"renewal: {kept.failure().detail}")
        elif kept.unwrap():
            hooks.answered()
        else:
            return
