"""The interface to the key-value store, implemented in `store.py`.

Keys are text and values are bytes. Every call returns a `Result`; no exception is raised when the
store is unavailable, slow or sends a malformed response.
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
    """What is known about the effect of a failed call."""

    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    REJECTED = "rejected"


class StoreError(NamedTuple):
    """A failed call.

    UNAVAILABLE: the store could not be reached or did not respond, and the call had no effect.
    UNKNOWN: the write may have taken effect. REJECTED: the call was refused and had no effect.
    """

    kind: StoreErrorKind
    detail: str


class StoreCall(enum.StrEnum):
    """The kinds of call in the call counters; a watch counts as one call."""

    READ = "read"
    WRITE = "write"
    LEASE = "lease"
    WATCH = "watch"


class Entry(NamedTuple):
    """A key with its value and the store revision of its last write."""

    key: str
    value: bytes
    mod_revision: int


class Snapshot(NamedTuple):
    """Entries read at a single store revision."""

    entries: tuple[Entry, ...]
    revision: int


class SwapOutcome(NamedTuple):
    """The outcome of a compare-and-swap.

    `current` is the stored entry if the comparison failed, and `revision` is the store's revision
    after the call.
    """

    succeeded: bool
    revision: int
    current: Entry | None


class Update(NamedTuple):
    """A write that takes effect only if the key was last written at `expected_mod_revision`."""

    key: str
    value: bytes
    expected_mod_revision: int


class WatchEvent(NamedTuple):
    """A change of one key; `value` is None if it was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


class WatchBatch(NamedTuple):
    """The changes up to a store revision; none in a progress notification."""

    revision: int
    events: tuple[WatchEvent, ...]


class Store(Protocol):
    """A key-value store with compare-and-swap, leases and watches."""

    @property
    def calls(self) -> Counter[StoreCall]:
        """The number of calls made so far, by kind."""
        ...

    async def get(self, key: str, newer_than: int = 0) -> Result[Entry | None, StoreError]:
        """Read a key; None if it is missing or was last written at or before revision `newer_than`."""
        ...

    async def get_prefix(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Read all keys that start with `prefix`, ordered by key."""
        ...

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_mod_revision: int,
        extra_puts: Sequence[tuple[str, bytes]] = (),
        lease_id: int = 0,
        delete_range: tuple[str, str] | None = None,
    ) -> Result[SwapOutcome, StoreError]:
        """Write `key` if it was last written at `expected_mod_revision` (`ABSENT`: must not exist).

        If so, the same transaction writes the `extra_puts` keys unconditionally and deletes the keys
        from the first key of `delete_range` up to, not including, the second.
        """
        ...

    async def create_many(
        self, items: Sequence[tuple[str, bytes]]
    ) -> Result[tuple[SwapOutcome, ...], StoreError]:
        """Create up to `MAX_GROUP` distinct keys in one transaction, independently of each other."""
        ...

    async def update_many(
        self, items: Sequence[Update], lease_id: int = 0
    ) -> Result[tuple[SwapOutcome, ...], StoreError]:
        """Write up to `MAX_GROUP` distinct keys in one transaction, independently of each other.

        If a lease is given, the keys are deleted when it ends.
        """
        ...

    async def delete(self, key: str) -> Result[int, StoreError]:
        """Delete a key; return the number of keys deleted."""
        ...

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Grant a lease and return its id."""
        ...

    async def lease_keepalive(self, lease_id: int) -> Result[int, StoreError]:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        ...

    async def lease_revoke(self, lease_id: int) -> Result[None, StoreError]:
        """Revoke a lease; the store deletes its keys."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[WatchBatch, StoreError]]]:
        """Watch changes under `prefix` from a store revision on; ends after the first failure."""
        ...
