"""Builds the log event of a finished request: its result, timings, and the calls that explain it."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.edge.logevents import CallTrace
from cactussaddle_core.edge.logevents import RequestEnded
from cactussaddle_core.fanout.effects import Declined
from cactussaddle_core.fanout.effects import Merged
from cactussaddle_core.fanout.sending import FIRST
from cactussaddle_core.fanout.sending import HEDGE

if TYPE_CHECKING:
    from cactussaddle_core.fanout.effects import Relayed
    from cactussaddle_core.fanout.state import Call
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fanout.state import Query

MAX_LOGGED_CALLS = 12


def request_ended(
    answer: Merged | Relayed | Declined, query: Query, registry_age_s: float, now: float
) -> RequestEnded:
    """Return the log event of an answered query; calls are listed unless it was complete in time."""
    calls = [call for part in query.parts for call in part.calls]
    answered = query.answered()
    took_ms = _ms(now - query.started_at)
    objective_ms = _ms(query.route.objective_s)
    is_complete = answered == len(query.parts) and took_ms <= objective_ms
    return RequestEnded(
        request=query.request.request_id,
        fingerprint=query.request.fingerprint,
        route=query.route.name,
        result=_result(answer, query),
        message=answer.message if isinstance(answer, Declined) else "",
        took_ms=took_ms,
        objective_ms=objective_ms,
        answer_by_ms=_ms(query.answer_by - query.started_at),
        parts=len(query.parts),
        answered=answered,
        needed=query.needed(),
        hedges=sum(1 for call in calls if call.reason == HEDGE),
        retries=sum(1 for call in calls if call.reason not in (FIRST, HEDGE)),
        table=query.table_version,
        registry_age_s=round(registry_age_s, 2),
        retry_after_ms=_ms(answer.retry_after_s) if isinstance(answer, Declined) else 0.0,
        calls=() if is_complete else _calls_to_log(query),
        waited_ms=_ms(query.waited_s),
    )


def _result(answer: Merged | Relayed | Declined, query: Query) -> str:
    if isinstance(answer, Declined):
        return answer.code.name
    if isinstance(answer, Merged):
        return "PARTIAL" if answer.missing else "COMPLETE"
    return "COMPLETE" if query.answered() else f"LEAF_{answer.reply.status}"


def _calls_to_log(query: Query) -> tuple[CallTrace, ...]:
    """Return the calls to log: parts without a reply come first, then the slowest parts."""
    parts = sorted(query.parts, key=_slowest_first)
    calls = [call for part in parts for call in part.calls]
    return tuple(_trace(query, call) for call in calls[:MAX_LOGGED_CALLS])


def _slowest_first(part: Part) -> tuple[bool, float]:
    ended = max((call.ended_at for call in part.calls if call.ending is not None), default=0.0)
    return part.reply is not None, -ended


def _trace(query: Query, call: Call) -> CallTrace:
    ended_ms = None if math.isnan(call.ended_at) else _ms(call.ended_at - query.started_at)
    under_way = "under way" if call.left else "connecting"
    return CallTrace(
        service=call.part.service,
        leaf=call.leaf.name,
        why=call.reason,
        sent_ms=_ms(call.sent_at - query.started_at),
        ended_ms=ended_ms,
        end=under_way if call.ending is None else f"{call.ending.value} {call.detail}".strip(),
        cost_ms=_ms(call.cost_s),
        choices=call.choices,
    )


def _ms(seconds: float) -> float:
    return round(seconds * 1000.0, 1)
