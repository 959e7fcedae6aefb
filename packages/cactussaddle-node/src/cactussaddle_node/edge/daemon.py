"""The edge node's daemon: feeds events to the reducer and carries out the effects it returns."""

from __future__ import annotations

import random

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import trio

from cactussaddle_common.http.message import OutgoingResponse
from cactussaddle_core.codes import ResultCode
from cactussaddle_core.delegation.model import CancelDelegated
from cactussaddle_core.delegation.model import DelegateAnswered
from cactussaddle_core.delegation.model import SendDelegated
from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.reduce import reduce
from cactussaddle_core.edge.state import EdgeIdentity
from cactussaddle_core.edge.state import EdgeRules
from cactussaddle_core.edge.state import EdgeState
from cactussaddle_core.fanout import effects as fanfx
from cactussaddle_core.fanout.trace import request_ended
from cactussaddle_core.hold.trials import RemoveTrial
from cactussaddle_core.hold.trials import WriteTrial
from cactussaddle_core.limits.budget import BudgetRules
from cactussaddle_core.limits.cold import ColdRules
from cactussaddle_core.rollouts.model import RecordRollout
from cactussaddle_core.routing.model import DEFAULT_CALLER_LIMITS
from cactussaddle_node.edge.busyclock import start_reading
from cactussaddle_node.edge.caller import CallerHooks
from cactussaddle_node.edge.callerbudget import CLOSED_COUNTER
from cactussaddle_node.edge.callerbudget import CallerBudget
from cactussaddle_node.edge.callerbudget import host_rules
from cactussaddle_node.edge.clock import boot_time
from cactussaddle_node.edge.collector import IdleCollector
from cactussaddle_node.edge.datagrams import Datagrams
from cactussaddle_node.edge.delegates import DelegateClient
from cactussaddle_node.edge.delegates import DelegateServer
from cactussaddle_node.edge.eventlog import EventLog
from cactussaddle_node.edge.guard import GuardedNursery
from cactussaddle_node.edge.guard import TaskGuard
from cactussaddle_node.edge.leafcaller import LeafCaller
from cactussaddle_node.edge.metrics import Metrics
from cactussaddle_node.edge.metrics import TeamOutcome
from cactussaddle_node.edge.records import RecordWriter
from cactussaddle_platform import callers
from cactussaddle_platform import leaves

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.requestreader import IncomingRequest
    from cactussaddle_common.tasks import TaskStarter
    from cactussaddle_core.fanout.state import Query
    from cactussaddle_core.invariants import Breach
    from cactussaddle_core.routing.model import CallerLimits
    from cactussaddle_core.spread.tree import TreePosition
    from cactussaddle_node.edge.caller import CallerConnection
    from cactussaddle_node.edge.caller import Dropped
    from cactussaddle_node.edge.duties import DutyRunner
    from cactussaddle_node.edge.listener import Listener
    from cactussaddle_platform.settings import HostSettings

# Event-loop passes after which each task has read the data that was already available, so that
# answers that have arrived are handled before the timers that would act on their absence.
READ_PASSES = 2
# Subtracted from the deadline sent to a leaf, to leave time to return the answer to the caller.
LEAF_DEADLINE_MARGIN_S = 0.005
SWEEP_INTERVAL_S = 0.1
# Longest wait at shutdown for callers to read their last answers once these are written; answers that
# are unread when the process exits may be lost.
LAST_ANSWERS_TIMEOUT_S = 0.4
# Logged as the age of records that the store has never confirmed.
MAX_LOGGED_AGE_S = 1e6
UNANSWERED_COUNTER = "cactussaddle_requests_unanswered_total"


class Answerer(Protocol):
    """Where the answer to a request goes: a caller's connection, or that of a node that handed it on."""

    def answer(self, number: int, answer: OutgoingResponse) -> None:
        """Send the answer to the request of this number."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class EdgeDaemon:
    """Owns the node's state; all events reach the reducer through `feed`."""

    def __init__(self, *, cfg: HostSettings, nursery: trio.Nursery) -> None:
        self.cfg = cfg
        self.log = EventLog(node=cfg.node)
        seed = random.SystemRandom().getrandbits(32)
        # Tells this process from earlier ones of the same node.
        self.process = str(seed)
        self.state = EdgeState(
            me=EdgeIdentity(cfg.node, cfg.domain, cfg.region_of, delegation_cores(cfg)),
            rules=rules_of(cfg),
            seed=seed,
            started_at=trio.current_time(),
        )
        self.guard = TaskGuard(report=self._report_error)
        # Starts the tasks of all components; none of them ends the process.
        self.tasks: TaskStarter = GuardedNursery(nursery=nursery, guard=self.guard)
        self.metrics = Metrics()
        self.caller_budget = CallerBudget(
            rules=host_rules(cfg.limits),
            count=lambda reason, number: self.metrics.count(
                CLOSED_COUNTER, {"reason": reason}, number
            ),
            note=lambda event: self.note(fx.LogEvent(event)),
        )
        self.records = RecordWriter(
            nursery=self.tasks, guard=self.guard, log=self.log, feed=self.feed
        )
        self.collector = IdleCollector(is_on=cfg.features.waiting)
        self._read_host = start_reading(cfg.features.waiting)
        self.leaf_caller = LeafCaller(
            nursery=self.tasks,
            wire=leaves,
            local_host=cfg.ip,
            feed=self.feed,
            guard=self.guard,
            max_buffered_bytes=self.caller_budget.account.rules.replies_bytes,
            read_host=self._read_host,
        )
        self.delegates = DelegateClient(nursery=self.tasks, local_host=cfg.ip, feed=self.feed)
        self.delegate_server = DelegateServer(
            state=self.state,
            cores=cfg.limits.cores,
            next_request_number=self._next_request_number,
            begin=self._begin_for_node,
            caller_gone=self._on_disconnect,
        )
        self.place_changed: Callable[[TreePosition], None] | None = None
        # Called after each tick.
        self.ticked: Callable[[], None] | None = None
        self.datagrams = Datagrams(host=cfg.ip, peer_port=cfg.peer_port, feed=self.feed)
        self.stopped = trio.Event()
        # Set, and replaced by a new event, whenever this node's entry is removed from the store.
        self.entry_gone = trio.Event()
        self.duty: DutyRunner | None = None
        self._events: deque[ev.Event] = deque()
        self._reducing = False
        self._connections: dict[int, Answerer] = {}
        self._last_request_number = 0
        self._timer_changed = trio.Event()
        self._sleeping_until = 0.0
        self._listener: Listener | None = None
        # Callers' connections that were still open as the process ended.
        self.connections_left = 0

    def feed(self, event: ev.Event) -> None:
        """Reduce an event and carry out its effects.

        Events that are fed while effects are carried out are queued and handled afterwards.
        """
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            while self._events:
                self._process(self._events.popleft())
        finally:
            self._reducing = False
        if self.state.next_due() < self._sleeping_until:
            self._timer_changed.set()

    def _process(self, event: ev.Event) -> None:
        """Reduce one event; an unexpected exception is reported and drops only this event."""
        try:
            effects = reduce(self.state, event, trio.current_time())
        except Exception as exc:
            self.guard.failed(type(event).__name__, exc)
            number = _begun_request(event)
            if number is not None:
                self._answer_failed(number)
                self._events.append(ev.CallerGone(number))
            return
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: fx.Effect) -> None:
        """Carry out one effect; an unexpected exception is reported and drops only this effect."""
        try:
            _EFFECT_HANDLERS[type(effect)](self, effect)
        except Exception as exc:
            self.guard.failed(type(effect).__name__, exc)
            number = _answered_request(effect)
            if number is not None:
                self._answer_failed(number)

    def _report_error(self, task: str, error: str, place: str) -> None:
        self.log.write(log.UnexpectedError(task, error, place), trio.current_time())
        self.metrics.count("cactussaddle_errors_total", {"event": task})

    async def run_timers(self) -> None:
        """Feed a tick whenever a timer is due, flush the log and sweep leaf connections."""
        sweep_at = 0.0
        while True:
            self._sleeping_until = self.state.next_due()
            self._timer_changed = trio.Event()
            with trio.move_on_at(self._sleeping_until):
                await self._timer_changed.wait()
            late_s = max(0.0, trio.current_time() - self._sleeping_until)
            self._sleeping_until = 0.0
            for _ in range(READ_PASSES):
                await trio.lowlevel.checkpoint()
            self.delegate_server.ran()
            self.feed(ev.Tick(late_s, self._read_host()))
            now = trio.current_time()
            if self.ticked is not None:
                self.ticked()
            self.caller_budget.report(now)
            self.log.flush(now)
            self.collector.ticked(
                len(self.state.fanout.queries) + len(self.state.host_queue.waiting)
            )
            if now >= sweep_at:
                sweep_at = now + SWEEP_INTERVAL_S
                self.leaf_caller.sweep(now)
                self.delegates.sweep(now)

    def hooks(self, listener: Listener) -> CallerHooks:
        """Return the callbacks for callers' connections on a listener."""
        self._listener = listener
        return CallerHooks(
            next_request_number=self._next_request_number,
            request_received=self._on_request,
            caller_disconnected=self._on_disconnect,
            data_dropped=self._on_dropped,
            data_unread=self._on_unread,
            ended=listener.connections.discard,
            stopping=lambda: self.state.stopping.is_closing(trio.current_time()),
            limits=self._limits,
        )

    def breach(self, breach: Breach) -> None:
        """Log and count the breach of a promise."""
        self.metrics.count("cactussaddle_breaches_total", {"promise": breach.promise.value})
        self.log.write(log.Breach(breach.promise.value, breach.detail), trio.current_time())

    def note(self, effect: fx.LogEvent) -> None:
        """Log the event of a note, and count it if there is a counter for it."""
        event = effect.event
        self.log.write(event, trio.current_time())
        if isinstance(event, log.LeafCrashed):
            self.metrics.count(
                "cactussaddle_crash_reports_total", {"source": "own"}, event.requests
            )
        elif isinstance(event, log.CrashesLearned):
            self.metrics.count(
                "cactussaddle_crash_reports_total", {"source": "peer"}, event.requests
            )
        elif isinstance(event, log.RequestHeld):
            self.metrics.count("cactussaddle_requests_held_total", {})
        elif isinstance(event, log.CallerLeft):
            self.metrics.count(UNANSWERED_COUNTER, {"reason": "caller left"})

    def gauges(self, registry_age_s: float, store_calls: int) -> dict[str, dict[str, float]]:
        """Return the current values of the gauge metrics."""
        standings = Counter(leaf.availability.value for leaf in self.state.fleet.leaves.values())
        table = self.state.current_table.table
        duty = self.duty.gauges() if self.duty is not None else {}
        leavings = self.state.fanout.leavings
        paced = [leaf for leaf in self.state.fleet.leaves.values() if leaf.host_pace is not None]
        return {
            **duty,
            "cactussaddle_requests": {"": len(self.state.fanout.queries)},
            "cactussaddle_waiting_requests": {"": len(self.state.host_queue.waiting)},
            "cactussaddle_host_backlog_seconds": {"": self.state.fanout.backlog_s()},
            "cactussaddle_host_part_seconds": {"": self.state.fanout.room.part_s},
            "cactussaddle_leaves": {name: float(count) for name, count in standings.items()},
            "cactussaddle_limited_leaves": {"": len(self.state.fleet.limited)},
            "cactussaddle_paced_leaves": {"": len(paced)},
            "cactussaddle_calls_by_distance": {
                f"{distance.name.lower()}: {reason.value}": float(count)
                for (distance, reason), count in leavings.calls.items()
            },
            "cactussaddle_distance_bytes": {
                distance.name.lower(): float(count) for distance, count in leavings.bytes.items()
            },
            "cactussaddle_distance_switches": {"": leavings.switches},
            "cactussaddle_members": {"": len(self.state.members)},
            "cactussaddle_sharing_nodes": {"": len(self.state.sharing_nodes(trio.current_time()))},
            "cactussaddle_retries": {
                "spent": self.state.budget.spent,
                "denied": self.state.budget.denied,
            },
            "cactussaddle_delegates": {"": len(self.state.delegates)},
            "cactussaddle_delegated_requests": {"": len(self.state.delegated)},
            "cactussaddle_table_version": {"": table.version if table is not None else 0},
            "cactussaddle_store_calls": {"": store_calls},
            "cactussaddle_log_lines_dropped": {"": self.log.lines_dropped},
            "cactussaddle_registry_age_seconds": {"": registry_age_s},
            "cactussaddle_caller_bytes": {
                "held": self.caller_budget.account.held,
                "served": self.caller_budget.account.served,
                "budget": self.caller_budget.account.rules.budget_bytes,
            },
            "cactussaddle_caller_connections": {"": len(self.caller_budget.account.holders)},
        }

    def _next_request_number(self) -> int:
        self._last_request_number += 1
        return self._last_request_number

    def _limits(self) -> CallerLimits:
        table = self.state.current_table.table
        return table.limits if table is not None else DEFAULT_CALLER_LIMITS

    def _on_request(
        self, number: int, connection: CallerConnection, request: IncomingRequest
    ) -> None:
        decoded = callers.decode_request(number, request.head, request.body)
        if isinstance(decoded, str):
            declined = fanfx.Declined(number, "", ResultCode.BAD_REQUEST, decoded, False, 0.0)
            connection.answer(number, callers.encode_declined(declined))
            self._log_refusal(declined)
            return
        self._connections[number] = connection
        caller_rtt_s = connection.network_time_s()
        if caller_rtt_s is not None:
            decoded = decoded._replace(caller_rtt_s=caller_rtt_s)
        self.feed(ev.RequestArrived(decoded._replace(sent_by=boot_time())))

    def _begin_for_node(self, number: int, other: Answerer, arrived: ev.RequestArrived) -> None:
        self._connections[number] = other
        self.feed(arrived)

    def _on_disconnect(self, number: int) -> None:
        if self._connections.pop(number, None) is not None:
            self.feed(ev.CallerGone(number))

    def _on_dropped(self, dropped: Dropped) -> None:
        decoded = [callers.decode_request(0, one.head, one.body) for one in dropped.requests]
        ids = tuple("" if isinstance(one, str) else one.request_id for one in decoded)
        self.metrics.count(
            UNANSWERED_COUNTER, {"reason": dropped.reason.value}, max(1.0, len(dropped.requests))
        )
        is_stopping = self.state.stopping.asked
        event = log.RequestsDropped(dropped.reason.value, ids, dropped.unfinished, is_stopping)
        self.log.write(event, trio.current_time())

    def _on_unread(self) -> None:
        self.metrics.count(UNANSWERED_COUNTER, {"reason": "left unread"})
        self.log.write(log.DataLeftUnread(self.state.stopping.asked), trio.current_time())

    def _answer(self, number: int, answer: OutgoingResponse) -> None:
        connection = self._connections.pop(number, None)
        if connection is None:
            return
        try:
            connection.answer(number, answer)
        except Exception:
            connection.close()
            raise

    def _answer_failed(self, number: int) -> None:
        """Answer a request whose handling has met an unexpected error, if it has no answer yet."""
        message = "unexpected error"
        failed = fanfx.Declined(number, "", ResultCode.OUTCOME_UNKNOWN, message, True, 0.0)
        try:
            self._answer(number, callers.encode_declined(failed))
        except Exception as exc:
            self.guard.failed("answer", exc)

    def _send_call(self, effect: fanfx.SendCall) -> None:
        query = effect.call.part.query
        self.leaf_caller.send(effect.call, query.deadline - LEAF_DEADLINE_MARGIN_S)

    def _merged(self, effect: fanfx.Merged) -> None:
        self._answer(effect.query.request.req_id, callers.encode_merged(effect))
        self._log_request_end(effect, effect.query)

    def _relayed(self, effect: fanfx.Relayed) -> None:
        self._answer(effect.query.request.req_id, callers.encode_relayed(effect))
        self._log_request_end(effect, effect.query)

    def _delegate_answered(self, effect: DelegateAnswered) -> None:
        reply = effect.reply
        answer = OutgoingResponse(reply.status, reply.headers, reply.body)
        self._answer(effect.delegated.request.req_id, answer)
        took_s = trio.current_time() - effect.delegated.arrived_at
        self.metrics.answered(effect.delegated.route.name, "DELEGATED", took_s)

    def _declined(self, effect: fanfx.Declined) -> None:
        self._answer(effect.req_id, callers.encode_declined(effect))
        if effect.query is not None:
            self._log_request_end(effect, effect.query)
            return
        self._log_refusal(effect)
        self.metrics.answered("none", effect.code.name, 0.0)
        if effect.code is ResultCode.OVERLOADED:
            self.metrics.count("cactussaddle_busy_refusals_total", {"reason": effect.message})

    def _log_refusal(self, effect: fanfx.Declined) -> None:
        now = trio.current_time()
        table = self.state.current_table.table
        if effect.key_fault:
            self._log_key_refusal(effect, now)
            return
        event = log.RequestRefused(
            request=effect.request_id,
            fingerprint=effect.fingerprint,
            host=effect.host[: log.MAX_LOGGED_TEXT],
            path=effect.path[: log.MAX_LOGGED_TEXT],
            result=effect.code.name,
            message=effect.message,
            table=table.version if table is not None else 0,
            registry_age_s=round(self._registry_age_s(now), 2),
            retry_after_ms=round(effect.retry_after_s * 1000.0, 1),
        )
        self.log.write(event, now)

    def _log_key_refusal(self, effect: fanfx.Declined, now: float) -> None:
        table = self.state.current_table.table
        event = log.KeyRefused(
            request=effect.request_id,
            key=effect.key,
            reason=effect.key_fault.value,
            host=effect.host[: log.MAX_LOGGED_TEXT],
            path=effect.path[: log.MAX_LOGGED_TEXT],
            table=table.version if table is not None else 0,
            registry_age_s=round(self._registry_age_s(now), 2),
            result=effect.code.name,
            retry_after_ms=round(effect.retry_after_s * 1000.0, 1),
        )
        self.metrics.count("cactussaddle_keys_refused_total", {"reason": effect.key_fault.value})
        self.log.write(event, now)

    def _registry_age_s(self, now: float) -> float:
        return min(now - self.state.registry_confirmed_at, MAX_LOGGED_AGE_S)

    def _log_request_end(
        self, answer: fanfx.Merged | fanfx.Relayed | fanfx.Declined, query: Query
    ) -> None:
        now = trio.current_time()
        event = request_ended(answer, query, self._registry_age_s(now), now)
        self.log.write(event, now)
        self.metrics.answered(event.route, event.result, now - query.started_at)
        if query.request.team:
            self.metrics.team_answered(query.request.team, _outcome_of(answer))
        if query.waited_s > 0.0:
            self.metrics.count("cactussaddle_waited_seconds_total", {}, query.waited_s)
        self.metrics.extra_calls(event.hedges, event.retries)

    def _probe(self, effect: fanfx.ProbeLeaf) -> None:
        table = self.state.current_table.table
        spec = table.services.get(effect.leaf.entry.service) if table is not None else None
        self.leaf_caller.probe(effect.leaf, spec.health_path if spec is not None else "/")

    def _close_idle(self, effect: fx.CloseIdle) -> None:
        if self._listener is not None:
            self._listener.finish_quiet(trio.current_time())

    def _set_place(self, effect: fx.SetTreePosition) -> None:
        if self.place_changed is not None:
            self.place_changed(effect.place)

    def _tell_duty(self, effect: fx.TellDuty) -> None:
        if self.duty is not None:
            self.duty.feed(effect.event)

    def _own_entry_gone(self, effect: fx.OwnEntryGone) -> None:
        gone, self.entry_gone = self.entry_gone, trio.Event()
        gone.set()

    def _end_process(self, effect: fx.EndProcess) -> None:
        now = trio.current_time()
        if self._listener is None or self._listener.end(now, forced=effect.forced):
            self.stopped.set()

    async def end_connections(self) -> None:
        """Wait for callers to read their answers and disconnect, and close what is left."""
        if self._listener is None:
            return
        with trio.move_on_at(self.state.stopping.exit_at):
            await self._listener.wait_written()
            with trio.move_on_after(LAST_ANSWERS_TIMEOUT_S):
                await self._listener.wait_closed()
        self.connections_left = len(self._listener.connections)
        self._listener.close()


_EFFECT_HANDLERS: dict[type[Any], Any] = {
    fanfx.SendCall: EdgeDaemon._send_call,
    fanfx.EndCall: lambda daemon, effect: daemon.leaf_caller.end(effect),
    fanfx.Merged: EdgeDaemon._merged,
    fanfx.Relayed: EdgeDaemon._relayed,
    fanfx.Declined: EdgeDaemon._declined,
    fanfx.ProbeLeaf: EdgeDaemon._probe,
    SendDelegated: lambda daemon, effect: daemon.delegates.send(effect.delegated),
    CancelDelegated: lambda daemon, effect: daemon.delegates.cancel(effect.req_id),
    DelegateAnswered: EdgeDaemon._delegate_answered,
    fx.KeepConnections: lambda daemon, effect: daemon.leaf_caller.update_pools(effect.leaves),
    fx.LogEvent: EdgeDaemon.note,
    fx.CloseIdle: EdgeDaemon._close_idle,
    fx.SetTreePosition: EdgeDaemon._set_place,
    fx.OwnEntryGone: EdgeDaemon._own_entry_gone,
    fx.RemoveFromRoster: lambda daemon, effect: daemon.records.remove_from_roster(effect),
    fx.TellDuty: EdgeDaemon._tell_duty,
    fx.SendHints: lambda daemon, effect: daemon.datagrams.send_hints(effect),
    fx.SendCrashes: lambda daemon, effect: daemon.datagrams.send_crashes(effect),
    fx.SendLimits: lambda daemon, effect: daemon.datagrams.send_limits(effect),
    fx.SendTraffic: lambda daemon, effect: daemon.datagrams.send_traffic(effect),
    fx.SendLeaving: lambda daemon, effect: daemon.datagrams.send_leaving(effect),
    fx.SendEvidence: lambda daemon, effect: daemon.datagrams.send_evidence(effect),
    fx.SendLeaderUpdate: lambda daemon, effect: daemon.datagrams.send_news(effect),
    RecordRollout: lambda daemon, effect: daemon.records.record_rollout(effect),
    WriteTrial: lambda daemon, effect: daemon.records.write_trial(effect),
    RemoveTrial: lambda daemon, effect: daemon.records.remove_trial(effect),
    fx.EndProcess: EdgeDaemon._end_process,
}


def _begun_request(event: ev.Event) -> int | None:
    """Return the number of the request that an event begins or ends; None if it does neither."""
    if isinstance(event, ev.RequestArrived):
        return event.request.req_id
    if isinstance(event, ev.DelegateEnded):
        return event.req_id
    return None


def _answered_request(effect: fx.Effect) -> int | None:
    """Return the number of the request that an effect answers; None if it answers none."""
    if isinstance(effect, fanfx.Declined):
        return effect.req_id
    if isinstance(effect, SendDelegated | DelegateAnswered):
        return effect.delegated.request.req_id
    if isinstance(effect, fanfx.Merged | fanfx.Relayed):
        return effect.query.request.req_id
    return None


def delegation_cores(cfg: HostSettings) -> float:
    """Return the processor of this host that counts for handing queries on; 0 if that is off."""
    return cfg.limits.cores if cfg.features.delegation else 0.0


def _outcome_of(answer: fanfx.Merged | fanfx.Relayed | fanfx.Declined) -> TeamOutcome:
    """Return what became of a team's request; a relayed answer may be the failure of a leaf."""
    if not isinstance(answer, fanfx.Declined):
        return TeamOutcome.ANSWERED
    return TeamOutcome.FAILED if answer.ran else TeamOutcome.REFUSED


def rules_of(cfg: HostSettings) -> EdgeRules:
    """Return the shared limits and the optional parts from the settings."""
    bounds = cfg.bounds
    return EdgeRules(
        budget=BudgetRules(bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s),
        cold=ColdRules(bounds.cold_over, bounds.cold_slack),
        features=cfg.features,
        revoke_s=bounds.revoke_s,
    )
