"""Effects that the node reducer returns for the daemon to carry out."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.calls import LeafCall
    from cactussaddle_core.config.model import MoveState
    from cactussaddle_core.once import RecordWrite


class Answer(NamedTuple):
    """Answer a caller with this JSON document."""

    req_id: int
    status: int
    doc: dict[str, Any]
    retry_after_s: float


class SendPeer(NamedTuple):
    """Send a message to a node; `address` is needed only if the node's name is not known yet."""

    node: str
    message: Any
    address: str = ""


class WritePlacement(NamedTuple):
    """Write the placement to the store if the stored one has the preceding epoch."""

    epoch: int
    data: bytes


class WriteRecords(NamedTuple):
    """Write a batch of at-most-once records in one transaction; report as `RecordsWritten`."""

    intents: bool
    batch_id: int
    writes: tuple[RecordWrite, ...]


class RecordMove(NamedTuple):
    """Create a move's final state in the store; report the state stored there as `FinalSeen`.

    `row` describes the move in words, for reports after it has been removed from the plan.
    """

    move: str
    state: MoveState
    reason: str
    row: str


class StopProcess(NamedTuple):
    """Stop the process because another one has replaced it."""

    reason: str


class EndProcess(NamedTuple):
    """End the process after its graceful shutdown."""


class RunCall(NamedTuple):
    """Run a leaf call; this node may have `connections` connections open to the leaf."""

    sender: str
    call: LeafCall
    timeout_s: float
    connections: int


class StopCall(NamedTuple):
    """Cancel a running leaf call."""

    sender: str
    call_id: int
    leaf: str


class WatchLeaves(NamedTuple):
    """Check the health of exactly these leaves regularly; `leaves` maps names to addresses."""

    leaves: dict[str, str]


class Log(NamedTuple):
    """Write a log line."""

    level: str
    event: str
    fields: dict[str, Any]
