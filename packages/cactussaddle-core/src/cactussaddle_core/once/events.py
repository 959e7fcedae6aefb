"""Events of the at-most-once reducer."""

from __future__ import annotations

import enum

from typing import NamedTuple


class StoreStatus(enum.IntEnum):
    """Result of a write: after `LOST` and `UNAVAILABLE` it may have taken effect."""

    OK = 0
    LOST = 1
    UNAVAILABLE = 2


class LeafOutcome(enum.IntEnum):
    """Result of a leaf call. A call that failed or timed out may have run: `UNKNOWN`."""

    OK = 0
    NOT_RUN = 1
    UNKNOWN = 2


class AttemptState(enum.IntEnum):
    """State of an attempt as reported by the node that made it.

    `NEVER`: it was not dispatched and never will be. `GONE`: this incarnation has ended.
    `UNREACHABLE` is reported by the asking node's own daemon.
    """

    NEVER = 0
    RUNNING = 1
    DONE = 2
    UNKNOWN = 3
    GONE = 4
    UNREACHABLE = 5


class Submitted(NamedTuple):
    """A caller's request; `deadline` in seconds of `now`, `wall` in seconds since the epoch.

    `repeat` is true if the caller declares that it has sent this key before.
    """

    req_id: str
    key: str
    fingerprint: str
    deadline: float
    wall: float
    repeat: bool = False


class WriteResult(NamedTuple):
    """The result for one key: written at `revision`, or the record that exists instead.

    A key that does not exist has an empty `record` and revision 0.
    """

    key: str
    written: bool
    revision: int
    record: bytes = b""


class IntentsWritten(NamedTuple):
    """The end of one `WriteIntents`; results in the batch's order, none unless `status` is OK."""

    batch_id: int
    status: StoreStatus
    results: tuple[WriteResult, ...] = ()


class OutcomesWritten(NamedTuple):
    """The end of one `WriteOutcomes`."""

    batch_id: int
    status: StoreStatus
    results: tuple[WriteResult, ...] = ()


class LeafAnswered(NamedTuple):
    """The end of one dispatch, named by its attempt and try number."""

    attempt: str
    try_no: int
    outcome: LeafOutcome
    answer: bytes = b""
    retry_after_s: float = 0.0


class AttemptAsked(NamedTuple):
    """A peer asks for the state of `attempt`, which this node made."""

    peer: str
    ask_id: str
    attempt: str


class PeerAttemptReply(NamedTuple):
    """The reply to an `AskPeer`."""

    ask_id: str
    attempt: str
    state: AttemptState
    answer: bytes = b""


class Tick(NamedTuple):
    """A timer is due, see `OnceBook.next_wake`."""


Event = (
    Submitted
    | IntentsWritten
    | OutcomesWritten
    | LeafAnswered
    | AttemptAsked
    | PeerAttemptReply
    | Tick
)
