"""Events that the daemon passes to the node reducer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.calls import CallOutcome
    from cactussaddle_core.calls import SnapshotInfo
    from cactussaddle_core.config.model import MoveState
    from cactussaddle_core.once import StoreStatus
    from cactussaddle_core.once import WriteResult


class CallerRequest(NamedTuple):
    """A caller's request; `deadline_ms` and `min_coverage` are None if the caller did not set them.

    `repeat` is True if the caller states that it has sent this key before.
    """

    req_id: int
    route: str
    body: bytes
    limit: int
    deadline_ms: float | None
    min_coverage: float | None
    key: str
    repeat: bool = False


class CallerGone(NamedTuple):
    """The caller closed its connection before it was answered."""

    req_id: int


class PeerMessage(NamedTuple):
    """A message from another node."""

    sender: str
    message: Any


class LinkDown(NamedTuple):
    """The stream to a node ended."""

    node: str


class Unsent(NamedTuple):
    """A message was definitely not sent to a node."""

    node: str
    message: Any


class CallEnded(NamedTuple):
    """A leaf call made by this node ended. Times are in seconds.

    `retry_after_s` is the delay that the leaf requested, 0 if it requested none. `surely` is False
    if the leaf may still be running the call, for example after a timeout.
    """

    sender: str
    call_id: int
    outcome: CallOutcome
    body: bytes
    latency_s: float
    incarnation: str
    retry_after_s: float
    snapshots: tuple[SnapshotInfo, ...]
    surely: bool = True


class IdleEnded(NamedTuple):
    """A leaf ended an idle connection, either by a reset or by an orderly close."""

    leaf: str
    reset: bool


class HealthSeen(NamedTuple):
    """A leaf's health endpoint answered."""

    leaf: str
    ready: bool
    incarnation: str
    snapshots: tuple[SnapshotInfo, ...]


class HealthFailed(NamedTuple):
    """A leaf's health endpoint could not be queried."""

    leaf: str


class DocSeen(NamedTuple):
    """A stored document was received from the store or a peer; `name` is `config` or `placement`."""

    name: str
    data: bytes
    source: str


class HostEntry(NamedTuple):
    """An entry host in the platform's host list; `address` is the `ip:port` for streams to it."""

    name: str
    address: str
    domain: str
    leaving: bool


class HostsSeen(NamedTuple):
    """The platform's host list was read."""

    entries: tuple[HostEntry, ...]


class RecordsWritten(NamedTuple):
    """A write of at-most-once records completed or failed."""

    intents: bool
    batch_id: int
    status: StoreStatus
    results: tuple[WriteResult, ...]


class StoreSeen(NamedTuple):
    """The store answered a read, or failed to."""

    up: bool


class FinalSeen(NamedTuple):
    """The store contains this final state of a move."""

    move: str
    state: MoveState


class StopAsked(NamedTuple):
    """The process was asked to stop gracefully, within `longest_s` seconds."""

    longest_s: float


class Tick(NamedTuple):
    """Time has passed."""
