"""This node's part in the duty to report usage: runs the reducer and carries out its effects."""

from __future__ import annotations

import secrets
import time

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import trio

from cactussaddle_core.duties import effects as dfx
from cactussaddle_core.duties import events as dev
from cactussaddle_core.duties.reduce import Duties
from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import logevents as log
from cactussaddle_node.edge.clock import boot_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.tasks import TaskStarter
    from cactussaddle_core.duties.model import DutyRules
    from cactussaddle_core.edge.state import EdgeState
    from cactussaddle_node.edge.datagrams import Datagrams
    from cactussaddle_node.edge.guard import TaskGuard
    from cactussaddle_node.edge.metrics import Metrics
    from cactussaddle_platform.duties import DutyRecords
    from cactussaddle_platform.usage import UsageClient

TICK_INTERVAL_S = 0.1
ID_BYTES = 6
MAX_AGE_S = 1e6
REPORTS_COUNTER = "cactussaddle_usage_reports_total"
_OUTCOMES: dict[type[Any], str] = {
    log.UsageReported: "accepted",
    log.UsageReportFailed: "failed",
    log.UsageMissed: "missed",
}


class DutyClients(NamedTuple):
    """What the duty calls: the store, the platform's service and the other nodes."""

    records: DutyRecords
    usage: UsageClient
    datagrams: Datagrams


class DutyOutputs(NamedTuple):
    """Where tasks, log lines and counters of the duty go."""

    nursery: TaskStarter
    guard: TaskGuard
    note: Callable[[fx.LogEvent], None]
    metrics: Metrics


class DutyRunner:
    """Feeds events to the reducer and carries out the effects it returns."""

    def __init__(
        self, *, state: EdgeState, rules: DutyRules, clients: DutyClients, outputs: DutyOutputs
    ) -> None:
        self._state = state
        self._clients = clients
        self._outputs = outputs
        now = boot_time()
        self._duties = Duties(
            node=state.me.node,
            incarnation=secrets.token_hex(ID_BYTES),
            rules=rules,
            new_attempt=lambda: secrets.token_hex(ID_BYTES),
            wall_s=time.time(),
            now=now,
        )
        self._tick_at = 0.0
        # The lease clock less the clock of the event loop.
        self._loop_offset_s = now - trio.current_time()

    def began(self, team: str, at: float) -> None:
        """Count a request that began to run at a time of the event loop's clock."""
        self._duties.began(team, at + self._loop_offset_s)

    def tick(self) -> None:
        """Let time pass, at most once an interval; an unexpected exception is reported."""
        now = boot_time()
        if now < self._tick_at:
            return
        self._tick_at = now + TICK_INTERVAL_S
        try:
            self._tick(now)
        except Exception as exc:
            self._outputs.guard.failed("duty", exc)

    def _tick(self, now: float) -> None:
        self._loop_offset_s = now - trio.current_time()
        state = self._state
        tick = dev.Tick(
            wall_s=time.time(),
            era=self._clients.records.era,
            members=state.members,
            region_of=state.me.region_of,
            stopping=state.stopping.asked,
        )
        self.feed(tick)

    def feed(self, event: dev.Event) -> None:
        """Reduce an event and carry out its effects."""
        for effect in self._duties.reduce(event, boot_time()):
            self._carry_out(effect)

    def gauges(self) -> dict[str, dict[str, float]]:
        """Return the current values of the duty's gauges."""
        age_s = boot_time() - self._duties.reporting.reported_at
        return {
            "cactussaddle_duty_held": {"": float(self._duties.holding.term is not None)},
            "cactussaddle_usage_report_age_seconds": {"": min(age_s, MAX_AGE_S)},
        }

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        now = boot_time()
        term = self._duties.holding.term
        return {
            "holder": self._duties.holder(now),
            "held_here": term is not None,
            "token": term.token if term is not None else None,
            "may_act": self._duties.holding.may_act(now),
            "true_time": round(self._duties.time.at(now), 3),
            "counted_here": self._duties.own.totals(),
            "runs_of_teams_beyond_the_bound": self._duties.own.uncounted,
        }

    def _carry_out(self, effect: dfx.Effect) -> None:
        if isinstance(effect, dfx.SendCounts):
            self._clients.datagrams.send_counts(effect)
        elif isinstance(effect, dfx.SendNote):
            self._clients.datagrams.send_holder_note(effect)
        elif isinstance(effect, dfx.Note):
            self._note(effect.event)
        elif isinstance(effect, dfx.SendReport):
            self._start("usage report", self._report, effect)
        else:
            self._start("duty", self._call_store, effect)

    def _start(self, task: str, function: Callable[..., Any], effect: dfx.Effect) -> None:
        outputs = self._outputs
        outputs.nursery.start_soon(outputs.guard.run_once, task, function, effect)

    def _note(self, event: Any) -> None:
        self._outputs.note(fx.LogEvent(event))
        outcome = _OUTCOMES.get(type(event))
        if outcome is not None:
            self._outputs.metrics.count(REPORTS_COUNTER, {"outcome": outcome})

    async def _call_store(self, effect: dfx.Effect) -> None:
        event = await self._clients.records.call(effect)
        if event is not None:
            self.feed(event)

    async def _report(self, effect: dfx.SendReport) -> None:
        window, token = effect.report.window, effect.token
        if boot_time() >= effect.live_until or self._clients.records.era != effect.era:
            self.feed(dev.ReportAnswered(window, token, None, "term no longer certain"))
            return
        answer = await self._clients.usage.report(effect.report, token)
        self.feed(dev.ReportAnswered(window, token, answer.status, answer.detail))
