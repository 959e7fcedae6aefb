"""The likely cause of a request's end, in one sentence."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cactussaddle_cli.loglines.story import calls_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactussaddle_cli.loglines.reading import Line
    from cactussaddle_cli.loglines.story import Story
    from cactussaddle_core.edge.logevents import CallTrace

UNFINISHED = ("under way", "connecting")
# A call that took at least this fraction of the objective may have made the answer late.
LONG_PART = 0.5
# A view of the registry that is older than this may have been wrong.
OLD_REGISTRY_S = 3.0


def likely_cause(story: Story) -> str:
    """Return a sentence that explains the result of the request."""
    last = story.own[-1]
    if last.event == "caller_left":
        return _left(last)
    if last.event == "requests_dropped":
        return f"Read and dropped without an answer: {last.fields.get('reason')}."
    if last.event == "stop_progress":
        return _open_at_stop(last, story.around)
    if last.event == "request_refused":
        return _refused(last, story.around)
    if last.event == "key_refused":
        return _key_refused(last)
    return _ended(last, story.around)


def _left(line: Line) -> str:
    text = (
        f"The connection ended after {line.fields.get('after_ms')} ms, before there was an answer"
    )
    return f"{text}, while the node was stopping." if line.fields.get("stopping") else f"{text}."


def _open_at_stop(line: Line, around: Sequence[Line]) -> str:
    """Explain a request whose last line says that it was in progress during a stop."""
    text = f"In progress {line.fields.get('since_s')} s after the node was asked to stop"
    if any(later.event == "stopped" and later.time >= line.time for later in around):
        return f"{text}; the node ended in order, so its answer was whole and its line left out."
    return f"{text}; no later line and no end of the process: most likely killed with the request."


def _refused(line: Line, around: Sequence[Line]) -> str:
    result = line.fields.get("result")
    if result == "NOT_CONFIGURED":
        return "The node had read neither routing table nor leaves yet: " + _why_unread(around)
    if result == "UNKNOWN_ROUTE":
        return _unknown_route(line)
    return f"Refused: {line.fields.get('message')}."


def _key_refused(line: Line) -> str:
    fields = line.fields
    key = f", fingerprint {fields.get('key')}" if fields.get("key") else ""
    text = f"Refused for its key{key}: {fields.get('reason')}"
    version, age_s = fields.get("table"), fields.get("registry_age_s")
    if version is None or age_s is None:
        return f"{text}."
    text += f"; the store confirmed version {version} {age_s:.1f} s before"
    return f"{text}, so a newer one may differ." if age_s > OLD_REGISTRY_S else f"{text}."


def _unknown_route(line: Line) -> str:
    fields = line.fields
    version, age_s = fields.get("table"), fields.get("registry_age_s")
    if version is None or age_s is None:
        return "No route of the table in force fits the host and path."
    asked = f"{fields.get('host')}{fields.get('path')}"
    text = f"Version {version} of the routing table has no route for {asked}; "
    text += f"the store confirmed it {age_s:.1f} s before"
    return f"{text}, so a newer one may have it." if age_s > OLD_REGISTRY_S else f"{text}."


def _why_unread(around: Sequence[Line]) -> str:
    events = {line.event for line in around}
    if "store_lost" in events:
        return "the store did not answer."
    if "started" in events:
        return "its process had just started."
    return "nothing in the log says why."


def _ended(line: Line, around: Sequence[Line]) -> str:
    fields = line.fields
    calls = calls_of(line)
    late = fields.get("took_ms", 0.0) > fields.get("objective_ms", 0.0)
    if not calls and not late:
        return str(fields.get("message") or "Nothing went wrong: the answer is whole and in time.")
    if not calls:
        return f"{fields.get('message') or 'Late'}; no call tells more."
    if fields.get("result") == "OUTCOME_UNKNOWN":
        call = calls[-1]
        return f"The call at leaf {call.leaf} ended with {call.end!r} after it was sent; it may run once."
    if str(fields.get("result", "")).startswith("LEAF_"):
        call = calls[-1]
        return f"Leaf {call.leaf} answered with a failure itself ({call.end})."
    troubled = _troubled(calls, fields.get("objective_ms", 0.0))
    return _sentence(troubled or calls, around, fields.get("registry_age_s", 0.0))


def _troubled(calls: list[CallTrace], objective_ms: float) -> list[CallTrace]:
    """Return the calls that failed, did not end, or took a large part of the time."""
    return [
        call
        for call in calls
        if call.end != "answered"
        or (call.ended_ms or 0.0) - call.sent_ms > LONG_PART * objective_ms
    ]


def _sentence(calls: list[CallTrace], around: Sequence[Line], registry_age_s: float) -> str:
    services = sorted({call.service for call in calls})
    causes = Counter(_call_cause(call, around) for call in calls)
    main, _ = causes.most_common(1)[0]
    where = f"{len(services)} services" if len(services) > 3 else ", ".join(services)
    text = f"Calls at {where}: {main}"
    others = [f"{cause} ({count})" for cause, count in causes.most_common(3)[1:]]
    if others:
        text += "; also " + ", ".join(others)
    if registry_age_s > OLD_REGISTRY_S:
        text += f"; what the node knew of leaves was {registry_age_s:.0f} s old"
    return text + "."


def _call_cause(call: CallTrace, around: Sequence[Line]) -> str:
    belief = _belief(call.leaf, around)
    if call.end in UNFINISHED:
        return belief or f"no answer in time ({call.end})"
    if call.end.startswith("answered"):
        return belief or "slow answers"
    if call.end.startswith("cancelled"):
        return belief or "slower than its hedge"
    return call.end


def _belief(leaf: str, around: Sequence[Line]) -> str:
    """Return the node's view of a leaf at that time, in words."""
    for line in reversed(around):
        if line.event == "leaf_standing" and line.fields.get("leaf") == leaf:
            standing, cause = line.fields.get("standing"), line.fields.get("cause")
            return f"leaf found {standing} ({cause})"
        if line.event in ("leaf_draining", "leaf_unlisted") and line.fields.get("leaf") == leaf:
            return "leaf was leaving"
        if line.event == "leaf_started" and line.fields.get("leaf") == leaf:
            return "leaf had just started"
    return ""
