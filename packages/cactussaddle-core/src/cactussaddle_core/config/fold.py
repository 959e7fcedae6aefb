"""Folds final moves into the list of leaves, so that the document stays small."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.config.timeline import FleetState
from cactussaddle_core.config.timeline import effect_order

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.config.model import Move
    from cactussaddle_core.config.verdict import Verdict

FINAL_RETENTION_S = 3600.0
DOMAIN_KINDS = (MoveKind.DOMAIN_OUT, MoveKind.DOMAIN_IN)


def fold_final(doc: ConfigDoc, verdicts: Mapping[str, Verdict], wall: float) -> ConfigDoc:
    """Remove moves that have been final for an hour; apply those that are done to the leaves.

    A move is folded only after every earlier move on the same domain or service, so that folding
    never changes the meaning of the document. A move that took a domain out of service stays until
    the move that brings it back can be folded too. A move that was taken back is removed at once
    if a remaining move adds leaves of the same name or address. The revision stays the same.
    """
    fleet = FleetState(doc=doc)
    kept: list[Move] = []
    blocked: set[str] = set()
    remaining = [move for move in doc["moves"] if not is_taken_back(verdicts.get(move["id"]))]
    for move in sorted(remaining, key=effect_order):
        subject = subject_of(move, doc)
        foldable = is_old(verdicts.get(move["id"]), wall) and subject not in blocked
        if foldable and not keeps_domain_out(move, remaining, verdicts, wall):
            fleet.apply(move)
            continue
        blocked.add(subject)
        kept.append(move)
    kept_ids = {move["id"] for move in kept}
    identifiers = {identifier for move in kept for identifier in leaf_identifiers(move)}
    for move in doc["moves"]:
        verdict = verdicts.get(move["id"])
        conflicts = not identifiers.isdisjoint(leaf_identifiers(move))
        if is_taken_back(verdict) and not is_old(verdict, wall) and not conflicts:
            kept_ids.add(move["id"])
    return {
        **doc,
        "leaves": fleet.all_leaves(),
        "moves": [move for move in doc["moves"] if move["id"] in kept_ids],
    }


def leaf_identifiers(move: Move) -> set[str]:
    """Return the names and addresses of the leaves that a move adds."""
    leaves = move.get("leaves", [])
    return {leaf["name"] for leaf in leaves} | {leaf["address"] for leaf in leaves}


def is_taken_back(verdict: Verdict | None) -> bool:
    """Return whether a move was taken back."""
    return verdict is not None and verdict["state"] == MoveState.TAKEN_BACK


def is_old(verdict: Verdict | None, wall: float) -> bool:
    """Return whether a move has been final for longer than an hour."""
    return verdict is not None and verdict["at"] < wall - FINAL_RETENTION_S


def subject_of(move: Move, doc: ConfigDoc) -> str:
    """Return a key for the domain or the service that a move changes."""
    if move["kind"] in DOMAIN_KINDS:
        return f"domain {move['target']}"
    if move["kind"] != MoveKind.LEAVE:
        return f"service {move['target']}"
    planned = [leaf for other in doc["moves"] for leaf in other.get("leaves", [])]
    for leaf in [*doc["leaves"], *planned]:
        if leaf["name"] == move["target"]:
            return f"service {leaf['service']}"
    return f"leaf {move['target']}"


def keeps_domain_out(
    move: Move, remaining: list[Move], verdicts: Mapping[str, Verdict], wall: float
) -> bool:
    """Return whether a move took a domain out that no foldable move brings back."""
    if move["kind"] != MoveKind.DOMAIN_OUT:
        return False
    later = [
        other
        for other in remaining
        if other["target"] == move["target"]
        and other["kind"] == MoveKind.DOMAIN_IN
        and effect_order(other) > effect_order(move)
    ]
    return not any(is_old(verdicts.get(other["id"]), wall) for other in later)
