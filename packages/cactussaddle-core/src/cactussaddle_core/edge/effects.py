"""What a node's reducer asks for, beside the effects of the fan-out."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

from cactussaddle_core.fanout.model import FanoutEffect
from cactussaddle_core.rollouts.model import RecordRollout

if TYPE_CHECKING:
    from cactussaddle_core.fleet.hints import Hint
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.hold.book import HoldSnapshot
    from cactussaddle_core.rollouts.model import LeaderNews
    from cactussaddle_core.spread.model import Member
    from cactussaddle_core.spread.tree import Place


class Connections(NamedTuple):
    """How many connections to a leaf may be open, and how many to open before they are needed.

    One that has been idle for `idle_s` is closed.
    """

    leaf: Leaf
    most: int
    warm: int
    idle_s: float


class KeepConnections(NamedTuple):
    """Keep connections to exactly these leaves."""

    leaves: tuple[Connections, ...]


class Note(NamedTuple):
    """Write a log line; `event` is one of `cactussaddle_core.edge.logevents`."""

    event: Any


class SetPlace(NamedTuple):
    """Follow the store from this place among the members."""

    place: Place


class TellHints(NamedTuple):
    """Tell the members of news of leaves; some may not hear it."""

    members: tuple[Member, ...]
    hints: tuple[Hint, ...]


class TellCrashes(NamedTuple):
    """Tell the members of requests that crash leaves; some may not hear it."""

    members: tuple[Member, ...]
    snapshot: HoldSnapshot


class TellEvidence(NamedTuple):
    """Send the members this node's counts of calls to old and new versions."""

    members: tuple[Member, ...]
    data: bytes


class TellNews(NamedTuple):
    """Tell the members the shares of new versions; some may not hear it."""

    members: tuple[Member, ...]
    news: LeaderNews


class CloseIdle(NamedTuple):
    """Close the callers' connections as they fall idle."""


class EndProcess(NamedTuple):
    """End the process; unless `forced`, not before what callers have sent by now is answered."""

    forced: bool


Effect: TypeAlias = (
    FanoutEffect
    | KeepConnections
    | Note
    | SetPlace
    | TellHints
    | TellCrashes
    | TellEvidence
    | TellNews
    | RecordRollout
    | CloseIdle
    | EndProcess
)
