"""Effects returned by a node's reducer, in addition to those of the fan-out."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

from cactussaddle_core.delegation.model import CancelDelegated
from cactussaddle_core.delegation.model import DelegateAnswered
from cactussaddle_core.delegation.model import SendDelegated
from cactussaddle_core.fanout.effects import FanoutEffect
from cactussaddle_core.hold.trials import RemoveTrial
from cactussaddle_core.hold.trials import WriteTrial
from cactussaddle_core.rollouts.model import RecordRollout

if TYPE_CHECKING:
    from cactussaddle_core.duties.events import Event as DutyEvent
    from cactussaddle_core.fleet.hints import Hint
    from cactussaddle_core.fleet.hints import LeavingNote
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.hold.table import HoldSnapshot
    from cactussaddle_core.limits.leaflimit import LimitNote
    from cactussaddle_core.limits.leaflimit import TrafficReport
    from cactussaddle_core.rollouts.model import LeaderUpdate
    from cactussaddle_core.spread.model import Member
    from cactussaddle_core.spread.tree import TreePosition


class ConnectionLimits(NamedTuple):
    """The maximum number of connections to a leaf, and the number to open in advance.

    A connection that has been idle for `idle_s` is closed.
    """

    leaf: Leaf
    most: int
    warm: int
    idle_s: float


class KeepConnections(NamedTuple):
    """Maintain connections to exactly these leaves."""

    leaves: tuple[ConnectionLimits, ...]


class LogEvent(NamedTuple):
    """Write a log line; `event` is an instance of a class in `cactussaddle_core.edge.logevents`."""

    event: Any


class OwnEntryGone(NamedTuple):
    """This node's own entry was removed from the store while the node runs."""


class RemoveFromRoster(NamedTuple):
    """Remove a node that has long been unregistered from those that share the common limits."""

    node: str


class SetTreePosition(NamedTuple):
    """Follow the store from this position in the tree."""

    place: TreePosition


class SendHints(NamedTuple):
    """Send hints about leaves to the members; delivery is not guaranteed."""

    members: tuple[Member, ...]
    hints: tuple[Hint, ...]


class SendCrashes(NamedTuple):
    """Send the records of requests that crash leaves to the members; delivery is not guaranteed."""

    members: tuple[Member, ...]
    snapshot: HoldSnapshot


class SendLimits(NamedTuple):
    """Send the members limits that leaves have named; delivery is not guaranteed."""

    members: tuple[Member, ...]
    notes: tuple[LimitNote, ...]


class SendLeaving(NamedTuple):
    """Send the members the leaves that say that they are leaving; delivery is not guaranteed."""

    members: tuple[Member, ...]
    notes: tuple[LeavingNote, ...]


class SendTraffic(NamedTuple):
    """Send the members the rate of this node's requests; delivery is not guaranteed."""

    members: tuple[Member, ...]
    report: TrafficReport


class SendEvidence(NamedTuple):
    """Send the members this node's counts of calls to old and new versions."""

    members: tuple[Member, ...]
    data: bytes


class SendLeaderUpdate(NamedTuple):
    """Send the members the traffic shares of new versions; delivery is not guaranteed."""

    members: tuple[Member, ...]
    news: LeaderUpdate


class TellDuty(NamedTuple):
    """Hand an event to the part that reports usage, if the node has it."""

    event: DutyEvent


class CloseIdle(NamedTuple):
    """Close callers' connections as they become idle."""


class EndProcess(NamedTuple):
    """Exit the process; unless `forced`, only after all requests already received are answered."""

    forced: bool


Effect: TypeAlias = (
    FanoutEffect
    | SendDelegated
    | CancelDelegated
    | DelegateAnswered
    | KeepConnections
    | LogEvent
    | OwnEntryGone
    | RemoveFromRoster
    | SetTreePosition
    | SendHints
    | SendCrashes
    | SendLimits
    | SendTraffic
    | SendLeaving
    | SendEvidence
    | SendLeaderUpdate
    | RecordRollout
    | WriteTrial
    | RemoveTrial
    | TellDuty
    | CloseIdle
    | EndProcess
)
