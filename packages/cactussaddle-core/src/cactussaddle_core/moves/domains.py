"""Decides which leaves may receive new requests, from the plan and the time alone.

The store is not needed: all nodes with the same configuration and roughly synchronized clocks
reach the same result.
"""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING

from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.config.model import Config
    from cactussaddle_core.config.model import Leaf
    from cactussaddle_core.config.model import Move

NO_NEW_WORK_S = 3.0
# Number of past times within NO_NEW_WORK_S at which an out-of-service leaf's state is checked.
STATE_CHECKS = 6
NONE_TAKEN_BACK: frozenset[str] = frozenset()
ADDING_KINDS = (MoveKind.PLACE, MoveKind.VERSION)
DOMAIN_KINDS = (MoveKind.DOMAIN_OUT, MoveKind.DOMAIN_IN)


class LeafState(enum.StrEnum):
    """A leaf's state under the plan; new requests go to the first two states only.

    A leaf that is `COMING_BACK` is treated as cold until its answers show that it is warm.
    """

    IN_SERVICE = "in service"
    COMING_BACK = "coming back"
    DRAINING = "draining"
    OUT = "out"


SERVING = (LeafState.IN_SERVICE, LeafState.COMING_BACK)


def planned_leaves(cfg: Config) -> dict[str, Leaf]:
    """Return all leaves of the configuration and its moves, by name."""
    leaves = dict(cfg.leaves)
    for move in cfg.moves.values():
        for leaf in move.get("leaves", []):
            leaves[leaf["name"]] = leaf
    return leaves


def leaf_state(
    cfg: Config, name: str, wall: float, taken_back: frozenset[str] = NONE_TAKEN_BACK
) -> LeafState:
    """Return a leaf's state at `wall`, ignoring the moves whose ids are in `taken_back`."""
    moves = [move for move in cfg.moves.values() if move["id"] not in taken_back]
    leaf, added_by = _find(cfg, moves, name)
    if leaf is None:
        return LeafState.OUT
    states = [
        _state_by_adding(added_by, wall),
        _state_by_leaving(moves, name, wall),
        _state_by_domain(moves, leaf["domain"], wall),
    ]
    for state in (LeafState.OUT, LeafState.DRAINING, LeafState.COMING_BACK):
        if state in states:
            return state
    return LeafState.IN_SERVICE


def require_in_service(
    cfg: Config, name: str, wall: float, taken_back: frozenset[str] = NONE_TAKEN_BACK
) -> None:
    """Assert at dispatch that the leaf has not been out of service for `NO_NEW_WORK_S`."""
    if leaf_state(cfg, name, wall, taken_back) in SERVING:
        return
    times = (wall - NO_NEW_WORK_S * i / STATE_CHECKS for i in range(1, STATE_CHECKS + 1))
    long_out = all(leaf_state(cfg, name, earlier, taken_back) not in SERVING for earlier in times)
    leaving = any(
        move["kind"] == MoveKind.LEAVE and move["target"] == name for move in cfg.moves.values()
    )
    promise = Promise.LEAF_LEAVING if leaving else Promise.DOMAIN_OUT
    require(not long_out, promise, f"new work for {name}, which is out")


def _find(cfg: Config, moves: Iterable[Move], name: str) -> tuple[Leaf | None, Move | None]:
    for move in moves:
        if move["kind"] not in ADDING_KINDS:
            continue
        for leaf in move.get("leaves", []):
            if leaf["name"] == name:
                return leaf, move
    return cfg.leaves.get(name), None


def _state_by_adding(move: Move | None, wall: float) -> LeafState:
    if move is None or wall >= move["finish"]:
        return LeafState.IN_SERVICE
    return LeafState.OUT if wall < move["start"] else LeafState.COMING_BACK


def _state_by_leaving(moves: Iterable[Move], name: str, wall: float) -> LeafState:
    for move in moves:
        if move["kind"] == MoveKind.LEAVE and move["target"] == name and wall >= move["start"]:
            return LeafState.OUT if wall >= move["finish"] else LeafState.DRAINING
    return LeafState.IN_SERVICE


def _state_by_domain(moves: Iterable[Move], domain: str, wall: float) -> LeafState:
    """Apply the domain's move that started last; of equal starts, the later one in the plan."""
    started = [
        move
        for move in moves
        if move["kind"] in DOMAIN_KINDS and move["target"] == domain and wall >= move["start"]
    ]
    if not started:
        return LeafState.IN_SERVICE
    _, move = max(enumerate(started), key=lambda item: (item[1]["start"], item[0]))
    finished = wall >= move["finish"]
    if move["kind"] == MoveKind.DOMAIN_OUT:
        return LeafState.OUT if finished else LeafState.DRAINING
    return LeafState.IN_SERVICE if finished else LeafState.COMING_BACK
