"""Events and effects of the moves book."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Config
    from cactussaddle_core.config.model import MoveState


class ConfigApplied(NamedTuple):
    """A configuration is in force."""

    cfg: Config


class Members(NamedTuple):
    """The live nodes, this one included."""

    nodes: tuple[str, ...]


class PeerEvidence(NamedTuple):
    """A peer's snapshot, as it put it."""

    data: bytes


class PeerLatch(NamedTuple):
    """A peer's latches, as it put them."""

    data: bytes


class FinalRecorded(NamedTuple):
    """The store holds this final state, whoever wrote it."""

    move: str
    state: MoveState


class OutcomeSeen(NamedTuple):
    """A leaf call of a service under a version move ended.

    `move` is `MoveBook.move_of(service, wall)`. `latency_s` runs from the dispatch to the leaf to
    its answer, without the time in queues. Cancelled calls and refusals are no outcome.
    `limit_s` is from when on it is slow, where the calls seen so far don't tell (0: not known).
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
    """Whether this node has nothing left to do for a domain, place or leave move.

    Leaving: none of its calls is at a leaf concerned. Coming: each such leaf it owns is warm.
    """

    move: str
    complete: bool


class Tick(NamedTuple):
    """Time passed; expected each `TICK_S`."""


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
    """Spread this node's snapshot; `urgent` where it may show badness."""

    data: bytes
    urgent: bool


class PutLatch(NamedTuple):
    """Spread the latches this node knows, urgently."""

    data: bytes


class RecordFinal(NamedTuple):
    """Create the final state in the store, create only; report who won as `FinalRecorded`."""

    move: str
    state: MoveState
    reason: str


Effect = PutEvidence | PutLatch | RecordFinal
