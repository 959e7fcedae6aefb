"""Validation of a complete configuration document; every fault is returned with its key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.config import checkmoves
from cactussaddle_core.config import checkparts
from cactussaddle_core.config.faults import Fault
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.config.model import encode_doc
from cactussaddle_core.config.timeline import FleetState
from cactussaddle_core.config.timeline import timeline

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.config.verdict import Verdict

MAX_DOC_BYTES = 1_000_000
NO_VERDICTS: Mapping[str, Verdict] = {}


def check_doc(
    doc: ConfigDoc,
    wall: float,
    previous: ConfigDoc | None = None,
    verdicts: Mapping[str, Verdict] = NO_VERDICTS,
) -> tuple[Fault, ...]:
    """Return every fault of a document that is to replace `previous`.

    `wall` is seconds since the epoch; `verdicts` holds the final verdicts by move id. Faults that
    `previous` already has are left out; otherwise one of them would block every unrelated change.
    """
    current = without_taken_back(doc, verdicts)
    old = without_taken_back(previous, verdicts) if previous else None
    faults = check_form(current, wall, old)
    service_faults = check_in_service(current, wall, old)
    if old is not None:
        previous_faults = {*check_form(old, wall, old), *check_in_service(old, wall, old)}
        faults = [fault for fault in faults if fault not in previous_faults]
        service_faults = [fault for fault in service_faults if fault not in previous_faults]
    faults += check_begun(doc, wall, previous, verdicts)
    return tuple(faults or service_faults)


def check_form(doc: ConfigDoc, wall: float, previous: ConfigDoc | None) -> list[Fault]:
    """Check everything except whether each service keeps a leaf in service."""
    return [
        *check_size(doc),
        *checkparts.check_parts(doc),
        *checkmoves.check_moves(doc, wall, previous),
        *checkmoves.check_overlaps(doc),
    ]


def check_size(doc: ConfigDoc) -> list[Fault]:
    """Check that the document is within the size that the store holds."""
    size = len(encode_doc(doc))
    if size <= MAX_DOC_BYTES:
        return []
    return [Fault("document", f"has {size} bytes; the store holds {MAX_DOC_BYTES} at most")]


def without_taken_back(doc: ConfigDoc, verdicts: Mapping[str, Verdict]) -> ConfigDoc:
    """Return the document without the moves whose verdict is "taken back"."""
    taken_back = {
        move_id for move_id, verdict in verdicts.items() if verdict["state"] == MoveState.TAKEN_BACK
    }
    return {**doc, "moves": [move for move in doc["moves"] if move["id"] not in taken_back]}


def check_in_service(doc: ConfigDoc, wall: float, previous: ConfigDoc | None) -> list[Fault]:
    """Find moves that would leave a service with no leaf in service.

    An accepted move that has already taken effect is not reported; otherwise no move could be added
    to repair the service.
    """
    accepted = {move["id"] for move in previous["moves"]} if previous else set()
    before = FleetState(doc=doc).in_service
    faults = [
        Fault(f"services[{name}]", "has no leaf")
        for name, count in before.items()
        if count == 0 and previous is None
    ]
    for step in timeline(doc):
        lost = [name for name, count in step.in_service.items() if count == 0 < before.get(name, 0)]
        before = step.in_service
        if step.at < wall and step.move["id"] in accepted:
            continue
        for name in lost:
            reason = f"would leave service {name} with no leaf in service"
            faults.append(Fault(f"moves[{step.move['id']}].target", reason, step.move["id"]))
    return faults


def check_begun(
    doc: ConfigDoc,
    wall: float,
    previous: ConfigDoc | None,
    verdicts: Mapping[str, Verdict],
) -> list[Fault]:
    """Find changes to moves that have begun or are final."""
    if previous is None:
        return []
    new = {move["id"]: move for move in doc["moves"]}
    faults = []
    for move in previous["moves"]:
        changed = new.get(move["id"])
        if changed is None or changed == move:
            continue
        key = f"moves[{move['id']}]"
        if move["id"] in verdicts:
            state = verdicts[move["id"]]["state"]
            faults.append(Fault(key, f"is {state} and can't be changed", move["id"]))
        elif wall >= move["start"]:
            reason = "has begun and can't be changed; cancel it and add a new move"
            faults.append(Fault(key, reason, move["id"]))
    return faults
