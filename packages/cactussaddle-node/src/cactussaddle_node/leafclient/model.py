"""Requests to a leaf and their results."""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypedDict

from cactussaddle_core.calls import CallOutcome

if TYPE_CHECKING:
    from collections.abc import Callable


class ProbeResult(enum.IntEnum):
    """Result of probing the leaf on a new connection after a silent one."""

    NOT_TRIED = 0
    SERVER_ANSWERS = 1
    SERVER_SILENT = 2


class IdleEnd(enum.IntEnum):
    """How the leaf ended an idle connection."""

    CLOSED = 0
    RESET = 1


class ConnectionHooks(NamedTuple):
    """Callbacks from a client to its owner about connections.

    `may_open()` returns whether a connection may be opened now and, if so, counts it as open.
    `closed()` is called for each counted connection once it is closed or could not be opened.
    `idle_ended(end)` is called when the leaf has ended an idle connection.
    """

    may_open: Callable[[], bool]
    closed: Callable[[], None]
    idle_ended: Callable[[IdleEnd], None]


NO_HOOKS = ConnectionHooks(lambda: True, lambda: None, lambda end: None)


class LeafRequest(NamedTuple):
    """One call; `deadline_s` is the remaining time, `snapshot` is None for the newest one."""

    call_id: str
    route: str
    snapshot: int | None
    deadline_s: float
    body: bytes
    idempotency_key: str | None = None


class LeafReply(NamedTuple):
    """The result of one call.

    `kind` is `REFUSED` when no connection was available, `RESET` when the connection failed after
    sending had begun, `SILENT` when no byte arrived in time, and `CANCELLED` when the call was
    cancelled; otherwise it follows from the status of the leaf's response. `status` is 0 without
    a response. `latency_s` counts from the start of sending; `connect_s` is the time spent on
    opening a connection, 0 for a reused one. `sent` is False only when no byte of the request has
    left this process. `ended` is False when the call may still be running on the leaf.
    `retry_after_s` comes from the leaf's response, 0 if it gave none.
    """

    kind: CallOutcome
    status: int
    body: bytes
    latency_s: float
    connect_s: float
    sent: bool
    ended: bool
    retry_after_s: float = 0.0
    probe: ProbeResult = ProbeResult.NOT_TRIED


class ShardMap(NamedTuple):
    """The shards of one snapshot that a leaf holds; `of` is the service's shard count."""

    snapshot: int
    of: int
    shards: tuple[int, ...]


class LeafHealth(NamedTuple):
    """A leaf's health report; `status` is `ready`, `starting` or `draining`."""

    leaf: str
    status: str
    incarnation: str
    version: str
    snapshots: tuple[ShardMap, ...]


class HealthBody(TypedDict):
    """`LeafHealth` as a JSON object on the wire."""

    leaf: str
    status: str
    incarnation: str
    version: str
    snapshots: tuple[ShardMap, ...]


class HealthError(NamedTuple):
    """Why no health report is available."""

    kind: CallOutcome
    detail: str


OUTCOME_BY_STATUS: dict[int, CallOutcome] = {
    200: CallOutcome.OK,
    409: CallOutcome.WRONG_SNAPSHOT,
    499: CallOutcome.CANCELLED,
    503: CallOutcome.SHED,
    504: CallOutcome.LATE,
}


def outcome_of_status(status: int) -> CallOutcome:
    """Return the outcome that an HTTP status stands for."""
    return OUTCOME_BY_STATUS.get(status, CallOutcome.FAILED)
