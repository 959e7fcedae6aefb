"""The log lines of one request, and those that show its nodes' state meanwhile."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from cactussaddle_core.edge.logevents import CallTrace

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_cli.loglines.reading import Line

# Events up to this long before a request's end may have affected it.
BEFORE_S = 6.0
AFTER_S = 1.0
# A stop ends within the platform's grace period.
STOP_AFTER_S = 10.0
REQUEST_EVENTS = frozenset(
    {"request_ended", "request_refused", "key_refused", "caller_left", "requests_dropped"}
)
# Fields of lines that name several requests.
REQUEST_LISTS = {"requests_dropped": "requests", "stop_progress": "open"}
LEAF_EVENTS = frozenset(
    {"leaf_standing", "leaf_started", "leaf_draining", "leaf_unlisted", "leaves_dropped"}
)


class Story(NamedTuple):
    """The lines of one request, in order, and the lines around it that may explain it."""

    request: str
    own: tuple[Line, ...]
    around: tuple[Line, ...]


def find_story(lines: Iterable[Line], request: str) -> Story | None:
    """Return the lines of a request; None if no line names it."""
    listed = list(lines)
    own = [line for line in listed if _names(line, request)]
    if not own:
        return None
    nodes = {line.node for line in own}
    leaves = {call.leaf for line in own for call in calls_of(line)}
    after_s = STOP_AFTER_S if own[-1].event == "stop_progress" else AFTER_S
    first, last = own[0].time - BEFORE_S, own[-1].time + after_s
    around = [
        line
        for line in listed
        if line.node in nodes and first <= line.time <= last and _concerns(line, leaves)
    ]
    return Story(request, tuple(own), tuple(around))


def _names(line: Line, request: str) -> bool:
    """Return whether a line names a request, alone or among others."""
    if line.fields.get("request") == request:
        return True
    named = line.fields.get(REQUEST_LISTS.get(line.event, ""), ())
    return isinstance(named, list) and request in named


def calls_of(line: Line) -> list[CallTrace]:
    """Return the calls in a request's line."""
    raw = line.fields.get("calls", [])
    if not isinstance(raw, list):
        return []
    try:
        return msgspec.convert(raw, list[CallTrace])
    except msgspec.ValidationError:
        return []


def _concerns(line: Line, leaves: set[str]) -> bool:
    if line.event in REQUEST_EVENTS:
        return False
    if line.event not in LEAF_EVENTS:
        return True
    named = line.fields.get("leaves", [line.fields.get("leaf")])
    return isinstance(named, list) and bool(leaves.intersection(map(str, named)))
