"""Computes a new version's share of a service's traffic from the plan and the evidence."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.config.model import MoveKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.config.model import Config
    from cactussaddle_core.config.model import Move

CANARY_SHARE = 0.05
FULL_SHARE = 0.95
RAMP_FROM = 0.55
RAMP_UNTIL = 0.7
MAX_DOUBLINGS = 10
SETTLE_S = 3.0
SETTLE_FRACTION = 0.05


class Pace(NamedTuple):
    """How the largest allowed share of a new version grows with its calls.

    The share stays at `canary_share` until the version has had `enough_calls` calls in total and
    `enough_route_calls` on each route with significant traffic; each further `doubling_calls`
    calls double it.
    """

    canary_share: float = CANARY_SHARE
    enough_calls: int = 60
    enough_route_calls: int = 20
    doubling_calls: int = 40


TYPICAL_PACE = Pace()


def planned_share(move: Move, wall: float, pace: Pace = TYPICAL_PACE) -> float:
    """Return the planned share at `wall`: a canary phase, then an exponential ramp.

    The ramp doubles the share at equal intervals, so that each step has evidence from the previous
    one, and ends well before `finish`. The old version keeps a small share until the move is
    final.
    """
    if wall < move["start"]:
        return 0.0
    passed = (wall - move["start"]) / (move["finish"] - move["start"])
    if passed <= RAMP_FROM:
        return pace.canary_share
    if passed >= RAMP_UNTIL:
        return FULL_SHARE
    progress = (passed - RAMP_FROM) / (RAMP_UNTIL - RAMP_FROM)
    return pace.canary_share * float((FULL_SHARE / pace.canary_share) ** progress)


def settle_s(move: Move) -> float:
    """Return how long the new version must have had all traffic before the move is done."""
    return min(SETTLE_S, SETTLE_FRACTION * (move["finish"] - move["start"]))


def evidence_cap(calls: float, min_route_calls: float, pace: Pace = TYPICAL_PACE) -> float:
    """Return the largest share allowed by the number of calls so far."""
    if calls < pace.enough_calls or min_route_calls < pace.enough_route_calls:
        return pace.canary_share
    doublings = (calls - pace.enough_calls) / pace.doubling_calls
    return min(1.0, pace.canary_share * float(2.0 ** min(doublings, MAX_DOUBLINGS)))


def version_moves(cfg: Config, service: str) -> list[Move]:
    """Return the version moves of a service, earliest first."""
    moves = [
        move
        for move in cfg.moves.values()
        if move["kind"] == MoveKind.VERSION and move["target"] == service
    ]
    return sorted(moves, key=lambda move: (move["start"], move["id"]))


def weights(cfg: Config, service: str, share_of: Callable[[Move], float]) -> dict[str, float]:
    """Return the weight of each version of a service; the weights sum to 1.

    `share_of` returns the share of a move's new version; the versions before it get the rest.
    """
    result = _versions_before(cfg, service)
    for move in version_moves(cfg, service):
        share = share_of(move) if result else 1.0
        version = move.get("version", "")
        result = {name: weight * (1.0 - share) for name, weight in result.items()}
        result[version] = result.get(version, 0.0) + share
    return result


def _versions_before(cfg: Config, service: str) -> dict[str, float]:
    """Weight the versions not introduced by a version move by their number of leaves."""
    counts: dict[str, int] = {}
    leaves = [cfg.leaves[name] for name in cfg.leaves_by_service.get(service, ())]
    for move in cfg.moves.values():
        if move["kind"] == MoveKind.PLACE:
            leaves += [leaf for leaf in move.get("leaves", []) if leaf["service"] == service]
    new = {move.get("version", "") for move in version_moves(cfg, service)}
    for leaf in leaves:
        if leaf["version"] not in new:
            counts[leaf["version"]] = counts.get(leaf["version"], 0) + 1
    total = sum(counts.values())
    return {version: count / total for version, count in sorted(counts.items())}
