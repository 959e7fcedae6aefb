"""Leaf calls as they travel between the root of a query and the owner of a leaf."""

from __future__ import annotations

import enum

from typing import Any
from typing import NamedTuple

import msgspec

NEWEST_SNAPSHOT = -1


class CallOutcome(enum.IntEnum):
    """What became of one leaf call."""

    OK = 0
    WRONG_SNAPSHOT = 1
    SHED = 2
    CANCELLED = 3
    LATE = 4
    FAILED = 5
    REFUSED = 6
    RESET = 7
    SILENT = 8
    QUEUE_FULL = 9
    NOT_OWNER = 10
    HELD = 11
    LINK_DOWN = 12


# Outcomes after which the call certainly did not run on the leaf.
CERTAINLY_NOT_RUN = frozenset(
    {
        CallOutcome.WRONG_SNAPSHOT,
        CallOutcome.SHED,
        CallOutcome.REFUSED,
        CallOutcome.QUEUE_FULL,
        CallOutcome.NOT_OWNER,
        CallOutcome.HELD,
    }
)

# Outcomes of calls that the leaf's owner never sent to the leaf.
NEVER_SENT = frozenset({CallOutcome.REFUSED, CallOutcome.QUEUE_FULL, CallOutcome.NOT_OWNER})


class SnapshotInfo(NamedTuple):
    """One snapshot held by a leaf: `of` shards in all, `shards` the indices held here."""

    snapshot: int
    of: int
    shards: tuple[int, ...]


class LeafCall(NamedTuple):
    """A request of a root to the owner of `leaf`.

    `budget_ms` is what is left of the deadline when sent; `fingerprint` identifies the request's
    content; `key` is the idempotency key, empty for an idempotent call.
    """

    call_id: int
    leaf: str
    route: str
    snapshot: int
    budget_ms: float
    priority: int
    fingerprint: int
    key: str
    body: bytes


class LeafResult(NamedTuple):
    """The owner's answer to a `LeafCall`.

    `latency_ms` is the time the leaf took, `queue_ms` the wait at the owner; `body` is the leaf's
    answer as it came. `snapshots` is filled after `WRONG_SNAPSHOT`.
    """

    call_id: int
    outcome: CallOutcome
    body: bytes
    latency_ms: float
    queue_ms: float
    retry_after_ms: float
    snapshots: tuple[SnapshotInfo, ...] = ()


class CancelCall(NamedTuple):
    """A root no longer needs the answer to this call."""

    call_id: int


class LeafStatus(NamedTuple):
    """What the owner of a leaf tells all nodes about it.

    `limit` is the number of calls that it may run at once now; 0 while it is unusable.
    """

    leaf: str
    incarnation: str
    limit: int
    snapshots: tuple[SnapshotInfo, ...]


class LeafAnswer(msgspec.Struct):
    """The body of a leaf's successful answer."""

    leaf: str
    incarnation: str
    snapshot: int
    shards: list[int]
    of: int
    hits: list[dict[str, Any]]


_answer_decoder = msgspec.json.Decoder(LeafAnswer)


def decode_answer(body: bytes) -> LeafAnswer | None:
    """Decode a leaf's answer; None when it is malformed."""
    try:
        return _answer_decoder.decode(body)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return None
