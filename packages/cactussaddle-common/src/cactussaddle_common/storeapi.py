"""What the workspace asks of a key-value store; `store.py` is the one implementation.

Keys are text, values bytes. Every call returns a `Result`; nothing is raised for a store that is
out, slow or answers nonsense.
"""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import AsyncIterator
    from collections.abc import Sequence
    from contextlib import AbstractAsyncContextManager

    from returns.result import Result

ABSENT = 0
MAX_GROUP = 128


class StoreErrorKind(enum.StrEnum):
    """What is certain about a call that failed."""

    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    REJECTED = "rejected"


class StoreError(NamedTuple):
    """A failed call.

    UNAVAILABLE: the store can't be reached and the call certainly had no effect. UNKNOWN: a write
    that may have taken effect. REJECTED: the store refused the call; no effect.
    """

    kind: StoreErrorKind
    detail: str


class StoreCall(enum.StrEnum):
    """Kinds of call as they are counted; a waiting watch is one call."""

    READ = "read"
    WRITE = "write"
    LEASE = "lease"
    WATCH = "watch"


class Entry(NamedTuple):
    """A key, its value and the store revision of its last write."""

    key: str
    value: bytes
    mod_revision: int


class Snapshot(NamedTuple):
    """Entries read at one store revision."""

    entries: tuple[Entry, ...]
    revision: int


class SwapOutcome(NamedTuple):
    """Whether a compare-and-swap won; `current` is the entry that stood in its way.

    `revision` is the store's revision after the call.
    """

    won: bool
    revision: int
    current: Entry | None


class Update(NamedTuple):
    """A write that takes effect only while the key's last write is `expected_mod_revision`."""

    key: str
    value: bytes
    expected_mod_revision: int


class WatchEvent(NamedTuple):
    """A change of one key; `value` is None when it was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


class WatchBatch(NamedTuple):
    """Changes up to a store revision; empty for a sign of life."""

    revision: int
    events: tuple[WatchEvent, ...]


class Store(Protocol):
    """A key-value store with compare-and-swap, leases and watches."""

    @property
    def calls(self) -> Counter[StoreCall]:
        """Calls made so far by kind."""
        ...

    async def get(self, key: str, newer_than: int = 0) -> Result[Entry | None, StoreError]:
        """Read one key; None also when its last write is of revision `newer_than` or before."""
        ...

    async def get_prefix(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Read every key that starts with `prefix`, in order of key."""
        ...

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_mod_revision: int,
        also: Sequence[tuple[str, bytes]] = (),
        lease_id: int = 0,
        drop: tuple[str, str] | None = None,
    ) -> Result[SwapOutcome, StoreError]:
        """Write `key` if its last write is `expected_mod_revision` (`ABSENT`: no such key).

        The `also` keys are written in the same transaction, whatever they hold, and the keys from
        the first one of `drop` up to the second are deleted in it.
        """
        ...

    async def create_many(
        self, items: Sequence[tuple[str, bytes]]
    ) -> Result[tuple[SwapOutcome, ...], StoreError]:
        """Create distinct keys, at most `MAX_GROUP`, in one transaction, each by itself."""
        ...

    async def update_many(
        self, items: Sequence[Update], lease_id: int = 0
    ) -> Result[tuple[SwapOutcome, ...], StoreError]:
        """Write distinct keys, at most `MAX_GROUP`, in one transaction, each by itself.

        The keys are deleted when the lease ends, where one is given.
        """
        ...

    async def delete(self, key: str) -> Result[int, StoreError]:
        """Delete a key; return how many were deleted."""
        ...

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Open a lease and return its id."""
        ...

    async def lease_keepalive(self, lease_id: int) -> Result[int, StoreError]:
        """Renew a lease; return the seconds it lasts, 0 when it has lapsed."""
        ...

    async def lease_revoke(self, lease_id: int) -> Result[None, StoreError]:
        """End a lease and delete its keys."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[WatchBatch, StoreError]]]:
        """Follow changes under `prefix` from a store revision on; ends after the first failure."""
        ...
