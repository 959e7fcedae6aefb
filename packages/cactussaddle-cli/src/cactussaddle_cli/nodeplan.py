"""What the nodes know of the plan, for commands that can't read the store.

A node holds a move for final only once it has heard that the store recorded it, so what is final
here is final. When it was recorded, and why, only the store says.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from cactussaddle_core.config.model import MoveState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

FINAL = (MoveState.DONE, MoveState.TAKEN_BACK)
RECORDED = "recorded, as a node has seen; time and reason are in the store"
CONTRADICTION = "nodes contradict each other on the final state; wait for the store"


class DumpedMove(msgspec.Struct):
    """A move in a node's dump; `at` is when it came into its state, seconds since the epoch.

    `at_risk` says why it can't be done in its time, empty where nothing speaks against.
    """

    state: MoveState
    at: float
    reason: str
    row: str
    latched: bool
    at_risk: str = ""


class DumpedConfig(msgspec.Struct):
    """The configuration in a node's dump."""

    revision: int


class Dumped(msgspec.Struct):
    """The part of a node's dump that says what it knows of the plan.

    `wall` is its clock; `traffic` the calls a second of each service at the leaves it owns.
    """

    wall: float
    config: DumpedConfig
    moves: dict[str, DumpedMove]
    traffic: dict[str, float] | None = None


class MoveRow(NamedTuple):
    """One move: `at` is when it came into its state, None where only the store says."""

    id: str
    move: str
    state: str
    at: float | None
    reason: str


class NodePlan(NamedTuple):
    """The plan as nodes know it.

    `holding` nodes have `revision`, the newest one seen; `as_of` is the earliest and the latest
    time of the dumps, seconds since the epoch by the nodes' clocks. `at_risk` says by move id why
    it can't be done in its time; `traffic` are each service's calls a second on all these nodes.
    """

    revision: int
    holding: int
    as_of: tuple[float, float]
    rows: tuple[MoveRow, ...]
    at_risk: dict[str, str]
    traffic: dict[str, float]


def merge_dumps(dumps: Iterable[dict[str, Any]]) -> NodePlan | None:
    """Return the plan that the dumps show together, None when none can be read."""
    known = [dumped for dumped in map(read_dump, dumps) if dumped is not None]
    if not known:
        return None
    revision = max(dumped.config.revision for dumped in known)
    newest = [dumped for dumped in known if dumped.config.revision == revision]
    names = {name: None for dumped in newest for name in dumped.moves}
    rows = [merge_move(name, known) for name in names]
    walls = [dumped.wall for dumped in known]
    risks = {name: risk_of(name, newest) for name in names}
    return NodePlan(
        revision=revision,
        holding=len(newest),
        as_of=(min(walls), max(walls)),
        rows=tuple(rows),
        at_risk={name: risk for name, risk in risks.items() if risk},
        traffic=total_traffic(known),
    )


def risk_of(name: str, known: Sequence[Dumped]) -> str:
    """Return why a move can't be done in its time, as half of the nodes or more say."""
    told = [dumped.moves[name].at_risk for dumped in known if name in dumped.moves]
    risks = [risk for risk in told if risk]
    return risks[0] if 2 * len(risks) >= len(told) and risks else ""


def total_traffic(known: Iterable[Dumped]) -> dict[str, float]:
    """Return the calls a second of each service over all nodes."""
    total: Counter[str] = Counter()
    for dumped in known:
        total.update(dumped.traffic or {})
    return dict(total)


def read_dump(dump: dict[str, Any]) -> Dumped | None:
    """Return what a dump says of the plan, None when it can't be read."""
    try:
        return msgspec.convert(dump, Dumped)
    except msgspec.ValidationError:
        return None


def merge_move(name: str, known: Sequence[Dumped]) -> MoveRow:
    """Return the state of one move as the nodes know it together."""
    seen = [dumped.moves[name] for dumped in known if name in dumped.moves]
    final = {move.state for move in seen if move.state in FINAL}
    if len(final) == 1:
        return MoveRow(name, seen[0].row, final.pop(), None, RECORDED)
    if final:
        return MoveRow(name, seen[0].row, MoveState.UNDER_WAY, None, CONTRADICTION)
    told = max(seen, key=lambda move: (move.latched, move.state is MoveState.UNDER_WAY))
    return MoveRow(name, told.row, told.state, told.at, told.reason)
