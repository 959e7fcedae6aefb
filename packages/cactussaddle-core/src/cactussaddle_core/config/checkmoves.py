"""Validation of the planned moves."""

from __future__ import annotations

import itertools

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.config import checkparts
from cactussaddle_core.config.faults import Fault
from cactussaddle_core.config.model import MoveKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.config.model import Leaf
    from cactussaddle_core.config.model import Move

MAX_MOVE_S = 366 * 86400.0
KINDS = tuple(MoveKind)
ADDING_KINDS = (MoveKind.PLACE, MoveKind.VERSION)


def check_moves(doc: ConfigDoc, wall: float, previous: ConfigDoc | None) -> list[Fault]:
    """Check each move on its own, then the leaves of all moves against each other."""
    before = {move["id"]: move for move in previous["moves"]} if previous else {}
    known = collect_known(doc)
    faults = checkparts.check_names("moves", [move["id"] for move in doc["moves"]])
    for move in doc["moves"]:
        faults += check_target(move, known)
        faults += check_times(move)
        faults += check_passed(move, before.get(move["id"]), wall)
        faults += check_added(move, known)
    faults += check_all_leaves(doc)
    return faults


def fault(move: Move, key: str, reason: str) -> Fault:
    """Return a fault at one key of a move."""
    return Fault(f"moves[{move['id']}].{key}", reason, move["id"])


def planned_leaves(doc: ConfigDoc) -> Iterable[tuple[Move, Leaf]]:
    """Yield each leaf that a move adds, with the move."""
    for move in doc["moves"]:
        for leaf in move.get("leaves", []):
            yield move, leaf


class Known(NamedTuple):
    """What moves may refer to: existing names, and the versions that each service runs."""

    domains: set[str]
    services: set[str]
    leaves: set[str]
    versions: dict[str, set[str]]


def collect_known(doc: ConfigDoc) -> Known:
    """Return what the moves of a document may refer to."""
    versions: dict[str, set[str]] = {}
    for leaf in doc["leaves"]:
        versions.setdefault(leaf["service"], set()).add(leaf["version"])
    planned = {leaf["name"] for _, leaf in planned_leaves(doc)}
    return Known(
        domains={domain["name"] for domain in doc["domains"]},
        services={service["name"] for service in doc["services"]},
        leaves={leaf["name"] for leaf in doc["leaves"]} | planned,
        versions=versions,
    )


def check_target(move: Move, known: Known) -> list[Fault]:
    """Check that the kind is valid and the target exists."""
    targets: dict[str, tuple[str, set[str]]] = {
        MoveKind.DOMAIN_OUT: ("failure domain", known.domains),
        MoveKind.DOMAIN_IN: ("failure domain", known.domains),
        MoveKind.PLACE: ("service", known.services),
        MoveKind.VERSION: ("service", known.services),
        MoveKind.LEAVE: ("leaf", known.leaves),
    }
    if move["kind"] not in targets:
        allowed = ", ".join(KINDS)
        return [fault(move, "kind", f"unknown kind {move['kind']!r}; allowed: {allowed}")]
    noun, names = targets[MoveKind(move["kind"])]
    if move["target"] not in names:
        return [fault(move, "target", f"no {noun} {move['target']!r}")]
    return []


def check_times(move: Move) -> list[Fault]:
    """Check that a move's times are finite, in order, and at most a year apart."""
    start, finish = move["start"], move["finish"]
    if not checkparts.is_finite(start) or not checkparts.is_finite(finish):
        return [fault(move, "start", "start and finish must be times")]
    if finish <= start:
        return [fault(move, "finish", "must be later than start")]
    if finish - start > MAX_MOVE_S:
        return [fault(move, "finish", "is more than a year after start")]
    return []


def check_passed(move: Move, accepted: Move | None, wall: float) -> list[Fault]:
    """Check that the times of a move that is new, or differ from `accepted`, are in the future.

    An accepted move remains valid after its times have passed.
    """
    before = dict(accepted) if accepted is not None else {}
    reason = "has passed already; write a time that lies ahead"
    times = (("start", move["start"] < wall), ("finish", move["finish"] <= wall))
    return [
        fault(move, key, reason)
        for key, passed in times
        if passed and before.get(key) != dict(move)[key]
    ]


def check_added(move: Move, known: Known) -> list[Fault]:
    """Check the leaves and the version that a move adds."""
    leaves = move.get("leaves", [])
    version = move.get("version", "")
    if move["kind"] not in ADDING_KINDS:
        reason = f"is not for a move of kind {move['kind']}"
        given = [("leaves", bool(leaves)), ("version", bool(version))]
        return [fault(move, key, reason) for key, present in given if present]
    faults = []
    if not leaves:
        faults.append(fault(move, "leaves", "names no leaf"))
    for leaf in leaves:
        if leaf["service"] != move["target"]:
            reason = f"leaf {leaf['name']} is of service {leaf['service']}, not {move['target']}"
            faults.append(fault(move, "leaves", reason))
        if version and leaf["version"] != version:
            reason = f"leaf {leaf['name']} has version {leaf['version']}, not {version}"
            faults.append(fault(move, "leaves", reason))
    if move["kind"] == MoveKind.VERSION:
        faults += check_version(move, known)
    return faults


def check_version(move: Move, known: Known) -> list[Fault]:
    """Check that a version move changes the version its service runs."""
    version = move.get("version", "")
    if not version:
        return [fault(move, "version", "is missing")]
    if known.versions.get(move["target"]) == {version}:
        return [fault(move, "version", f"{move['target']} runs {version} already")]
    return []


def check_all_leaves(doc: ConfigDoc) -> list[Fault]:
    """Check the leaves that moves add against each other and against the existing leaves."""
    names = {leaf["name"]: "the configuration" for leaf in doc["leaves"]}
    addresses = {leaf["address"]: leaf["name"] for leaf in doc["leaves"]}
    faults = []
    for move, leaf in planned_leaves(doc):
        for found in checkparts.check_leaves("leaves", [leaf], doc):
            faults.append(fault(move, found.key, found.reason))
        if not checkparts.NAME.fullmatch(leaf["name"]):
            reason = f"bad name {leaf['name']!r}: {checkparts.NAME_RULE}"
            faults.append(fault(move, "leaves", reason))
        if leaf["name"] in names:
            reason = f"leaf {leaf['name']} is there already, in {names[leaf['name']]}"
            faults.append(fault(move, "leaves", reason))
        holder = addresses.setdefault(leaf["address"], leaf["name"])
        if holder != leaf["name"]:
            reason = f"{leaf['address']} is the address of leaf {holder} too"
            faults.append(fault(move, "leaves", reason))
        names.setdefault(leaf["name"], f"move {move['id']}")
    return faults


def check_overlaps(doc: ConfigDoc) -> list[Fault]:
    """Find moves of the same target whose times overlap."""
    by_target = sorted(doc["moves"], key=lambda move: move["target"])
    faults = []
    for _, group in itertools.groupby(by_target, key=lambda move: move["target"]):
        for first, second in itertools.combinations(sorted(group, key=start_order), 2):
            if second["start"] < first["finish"] and first["id"] != second["id"]:
                reason = f"overlaps move {first['id']} on {first['target']}"
                faults.append(fault(second, "start", reason)._replace(other_id=first["id"]))
    return faults


def start_order(move: Move) -> tuple[float, str]:
    """Return the sort key that orders moves by start time."""
    return move["start"], move["id"]
