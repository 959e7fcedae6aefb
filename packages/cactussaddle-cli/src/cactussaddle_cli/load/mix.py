"""The mix of routes that a run sends."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

import msgspec

from returns.result import Failure
from returns.result import Result
from returns.result import Success

DEFAULT_PRIORITY = 0


class MixEntry(NamedTuple):
    """One route of a mix; `weight` is its share before scaling, `priority` labels its results."""

    route: str
    weight: float
    priority: int
    idempotent: bool


class MixEntryBody(TypedDict):
    """One entry of a mix file."""

    route: str
    weight: NotRequired[float]
    priority: NotRequired[int]
    idempotent: NotRequired[bool]


def parse_entry(text: str, non_idempotent: frozenset[str]) -> MixEntry:
    """Parse `route=weight[:priority]`; raise `ValueError` saying what is wrong."""
    route, found, rest = text.partition("=")
    weight_text, _, priority_text = rest.partition(":")
    if not route or not found:
        raise ValueError(f"{text!r} is not route=weight[:priority]")
    try:
        weight = float(weight_text)
        priority = int(priority_text) if priority_text else DEFAULT_PRIORITY
    except ValueError:
        raise ValueError(f"{text!r}: weight is a number, priority a whole number") from None
    if not 0 < weight < float("inf"):
        raise ValueError(f"{text!r}: the weight must be above 0")
    return MixEntry(route, weight, priority, route not in non_idempotent)


def read_mix(texts: list[str], non_idempotent: frozenset[str]) -> Result[list[MixEntry], str]:
    """Return the mix of the given entries, or of the one JSON file named in their place."""
    try:
        if len(texts) == 1 and "=" not in texts[0]:
            return Success(_read_file(Path(texts[0]), non_idempotent))
        return Success([parse_entry(text, non_idempotent) for text in texts])
    except (OSError, ValueError) as exc:
        return Failure(str(exc))


def _read_file(path: Path, non_idempotent: frozenset[str]) -> list[MixEntry]:
    try:
        bodies = msgspec.json.decode(path.read_bytes(), type=list[MixEntryBody])
    except msgspec.DecodeError as exc:
        raise ValueError(f"{path}: {exc}") from exc
    if not bodies:
        raise ValueError(f"{path}: the mix is empty")
    return [_from_body(body, non_idempotent) for body in bodies]


def _from_body(body: MixEntryBody, non_idempotent: frozenset[str]) -> MixEntry:
    weight = body.get("weight", 1.0)
    if weight <= 0:
        raise ValueError(f"{body['route']}: the weight must be above 0")
    idempotent = body.get("idempotent", True) and body["route"] not in non_idempotent
    return MixEntry(body["route"], weight, body.get("priority", DEFAULT_PRIORITY), idempotent)
