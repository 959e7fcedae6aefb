"""Events and effects of the moves reducer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Config
    from cactussaddle_core.config.model import MoveState


class ConfigApplied(NamedTuple):
    """A configuration has come into force."""

    cfg: Config


class Members(NamedTuple):
    """The live nodes, including this one."""

    nodes: tuple[str, ...]


class PeerEvidence(NamedTuple):
    """A peer's encoded evidence snapshot."""

    data: bytes


class PeerLatch(NamedTuple):
    """A peer's encoded latches."""

    data: bytes


class FinalRecorded(NamedTuple):
    """The store holds this final state, written by any node."""

    move: str
    state: MoveState


class OutcomeSeen(NamedTuple):
    """A leaf call of a service under a version move ended.

    `move` is `MoveTable.move_of(service, wall)`. `latency_s` is the time from dispatch to the
    leaf's answer, excluding time in queues. Cancelled and refused calls are not reported.
    `limit_s` is the latency beyond which the call is slow, used while there are too few samples
    to derive a limit (0: unknown).
    """

    move: str
    route: str
    version: str
    ok: bool
    latency_s: float
    cold: bool
    leaf: str = ""
    limit_s: float = 0.0


class LocalComplete(NamedTuple):
    """Whether this node has completed its side of a domain, place or leave move.

    For leaves going out of service: no call of this node is in flight to one of them. For leaves
    coming into service: all of them that this node owns are warm.
    """

    move: str
    complete: bool


class Tick(NamedTuple):
    """Time has passed; expected every `TICK_S`."""


Event = (
    ConfigApplied
    | Members
    | PeerEvidence
    | PeerLatch
    | FinalRecorded
    | OutcomeSeen
    | LocalComplete
    | Tick
)


class PutEvidence(NamedTuple):
    """Send this node's snapshot to the peers; `urgent` if it may show that a version is bad."""

    data: bytes
    urgent: bool


class PutLatch(NamedTuple):
    """Send all latches known to this node to the peers, urgently."""

    data: bytes


class RecordFinal(NamedTuple):
    """Create the final state in the store unless one exists; answered with `FinalRecorded`."""

    move: str
    state: MoveState
    reason: str


Effect = PutEvidence | PutLatch | RecordFinal
