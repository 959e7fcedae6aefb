"""Retention of old configuration revisions in the store, bounded by their total size in bytes.

An index of the sizes is written in the same transaction as each revision, so the bound is enforced
without reading the documents.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

from returns.result import Failure
from returns.result import Result
from returns.result import Success

if TYPE_CHECKING:
    from cactussaddle_common.storeapi import Store
    from cactussaddle_common.storeapi import StoreError

HISTORY_PREFIX = "/cactussaddle/history/"
INDEX_KEY = "/cactussaddle/history-index"
MAX_REVISIONS = 500
BYTES_PER_MB = 1_000_000
DEFAULT_MB = 64
# Room for several documents of the maximum size, so that a writer whose response was lost can still
# find its revision in the history.
MIN_MB = 16


class HistoryIndex(TypedDict):
    """The sizes in bytes of the retained revisions, starting with revision `first`."""

    first: int
    sizes: list[int]


def history_key(revision: int) -> str:
    """Return the key under which a revision is stored."""
    return f"{HISTORY_PREFIX}{revision:08d}"


async def read_index(store: Store) -> Result[HistoryIndex | None, StoreError]:
    """Read the index; None if it is missing or can't be decoded."""
    found = await store.get(INDEX_KEY)
    if isinstance(found, Failure):
        return Failure(found.failure())
    entry = found.unwrap()
    if entry is None:
        return Success(None)
    try:
        return Success(msgspec.json.decode(entry.value, type=HistoryIndex))
    except (msgspec.ValidationError, msgspec.DecodeError):
        return Success(None)


def next_index(
    index: HistoryIndex | None, revision: int, size: int, max_bytes: int
) -> HistoryIndex:
    """Return the index with a new revision of `size` bytes added and the oldest ones removed to fit.

    A revision that is missing from the index is assumed to be as large as the new one.
    """
    oldest = index["first"] if index is not None else 1
    known = dict(enumerate(index["sizes"], oldest)) if index is not None else {}
    sizes = [size]
    total = size
    for number in range(revision - 1, oldest - 1, -1):
        total += known.get(number, size)
        if total > max_bytes or len(sizes) == MAX_REVISIONS:
            break
        sizes.append(known.get(number, size))
    return {"first": revision - len(sizes) + 1, "sizes": sizes[::-1]}


def expired_keys(index: HistoryIndex) -> tuple[str, str]:
    """Return the range of keys to delete: its first key, and the first key after it."""
    return history_key(0), history_key(index["first"])
