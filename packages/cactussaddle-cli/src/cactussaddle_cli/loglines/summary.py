"""Counts over log lines: results, causes of failures, unhealthy leaves, dropped lines."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_cli.loglines.cause import likely_cause
from cactussaddle_cli.loglines.story import Story
from cactussaddle_cli.loglines.story import calls_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactussaddle_cli.loglines.reading import Line


REFUSALS = frozenset({"request_refused", "key_refused"})
REFUSED_RESULTS = frozenset(
    {"NOT_RUN", "NOT_CONFIGURED", "UNKNOWN_ROUTE", "KEY_REFUSED", "KEY_UNCONFIRMED"}
)


class Summary(NamedTuple):
    """Counts by kind, each as (text, count), most frequent first."""

    lines: int
    nodes: int
    dropped: list[tuple[str, int]]
    results: list[tuple[str, int]]
    refusals: list[tuple[str, int]]
    causes: list[tuple[str, int]]
    leaves: list[tuple[str, int]]


def summarize(lines: Sequence[Line], most: int) -> Summary:
    """Return a summary with at most `most` entries in each list."""
    ended = [line for line in lines if line.event == "request_ended"]
    troubled = [line for line in ended if calls_of(line)]
    refused = [line for line in lines if line.event in REFUSALS]
    failed_calls = [
        call for line in troubled for call in calls_of(line) if not call.end.startswith("answered")
    ]
    dropped: Counter[str] = Counter()
    for line in lines:
        if line.event == "lines_dropped":
            dropped.update(line.fields.get("by_event", {}))
    return Summary(
        lines=len(lines),
        nodes=len({line.node for line in lines}),
        dropped=dropped.most_common(most),
        results=_count(str(line.fields.get("result")) for line in ended + refused).most_common(
            most
        ),
        refusals=_count(_refusal(line) for line in refused + ended if _refusal(line)).most_common(
            most
        ),
        causes=_count(_cause(line) for line in troubled).most_common(most),
        leaves=_count(call.leaf for call in failed_calls).most_common(most),
    )


def _count(names: object) -> Counter[str]:
    return Counter(names)  # type: ignore[call-overload, no-any-return]


def _refusal(line: Line) -> str:
    if line.fields.get("result") not in REFUSED_RESULTS:
        return ""
    why = line.fields.get("reason" if line.event == "key_refused" else "message")
    return f"{line.fields.get('result')}: {why}"


def _cause(line: Line) -> str:
    """Return the cause as given by the request's line alone, without the names of services."""
    text = likely_cause(Story(str(line.fields.get("request")), (line,), ()))
    return text.partition(": ")[2] or text
