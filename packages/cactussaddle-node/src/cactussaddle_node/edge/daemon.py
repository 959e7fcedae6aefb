"""The node on the users' platform: callers' connections, leaves, store and timers around `reduce`."""

from __future__ import annotations

import os
import random
import signal
import traceback

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING
from typing import Any

import trio

from returns.result import Failure

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.reduce import reduce
from cactussaddle_core.edge.state import EdgeIdentity
from cactussaddle_core.edge.state import EdgeRules
from cactussaddle_core.edge.state import EdgeState
from cactussaddle_core.fanout import model as fan
from cactussaddle_core.fanout.trace import request_ended
from cactussaddle_core.invariants import set_handler
from cactussaddle_core.limits.budget import BudgetRules
from cactussaddle_core.limits.cold import ColdRules
from cactussaddle_core.rollouts.model import RecordRollout
from cactussaddle_core.routing.model import DEFAULT_CALLER_LIMITS
from cactussaddle_node.early import SIGNALS
from cactussaddle_node.early import listen
from cactussaddle_node.early import release_signals
from cactussaddle_node.edge.caller import CallerHooks
from cactussaddle_node.edge.datagrams import Datagrams
from cactussaddle_node.edge.dump import dump
from cactussaddle_node.edge.eventlog import EventLog
from cactussaddle_node.edge.follow import Follower
from cactussaddle_node.edge.leafcaller import LeafCaller
from cactussaddle_node.edge.listener import Listener
from cactussaddle_node.edge.metrics import Metrics
from cactussaddle_node.edge.pages import Pages
from cactussaddle_node.edge.pages import PageSources
from cactussaddle_node.edge.peerwire import PeerClient
from cactussaddle_node.edge.peerwire import PeerServer
from cactussaddle_node.edge.register import RegisterHooks
from cactussaddle_node.edge.register import register
from cactussaddle_node.edge.reload import Reloader
from cactussaddle_platform import callers
from cactussaddle_platform import leaves
from cactussaddle_platform import registry
from cactussaddle_platform.kv import KvStore
from cactussaddle_platform.names import READY_PATH
from cactussaddle_platform.registry import NodeEntry
from cactussaddle_platform.registry import RolloutRecords
from cactussaddle_platform.registry import StoreFeed

if TYPE_CHECKING:
    import socket

    from collections.abc import Callable
    from pathlib import Path

    from cactussaddle_common.http.message import Answer
    from cactussaddle_common.http.requestreader import IncomingRequest
    from cactussaddle_core.fanout.state import Query
    from cactussaddle_core.invariants import Breach
    from cactussaddle_core.routing.model import CallerLimits
    from cactussaddle_core.spread.tree import Place
    from cactussaddle_node.edge.caller import CallerConnection
    from cactussaddle_platform.settings import HostSettings

# What is kept of the caller's time for the way back when a leaf is told its deadline.
LEAF_DEADLINE_SPARE_S = 0.005
SWEEP_EVERY_S = 0.1
# Unread answers are lost when the process ends.
LAST_ANSWERS_S = 0.4
LOAD_METRICS_AFTER_S = 5.0


class EdgeDaemon:
    """Owns the node's state; `feed` is the only way into the reducer."""

    def __init__(self, *, cfg: HostSettings, nursery: trio.Nursery) -> None:
        self.cfg = cfg
        self.log = EventLog(node=cfg.node)
        self.state = EdgeState(
            me=EdgeIdentity(cfg.node, cfg.domain, cfg.region_of),
            rules=_rules(cfg),
            seed=random.SystemRandom().getrandbits(32),
        )
        self.leaf_caller = LeafCaller(
            nursery=nursery, wire=leaves, local_host=cfg.ip, feed=self.feed
        )
        self.place_changed: Callable[[Place], None] | None = None
        self.rollout_records: RolloutRecords | None = None
        self._nursery = nursery
        self.datagrams = Datagrams(host=cfg.ip, peer_port=cfg.peer_port, feed=self.feed)
        self.stopped = trio.Event()
        self.metrics = Metrics()
        self._events: deque[ev.Event] = deque()
        self._reducing = False
        self._connections: dict[int, CallerConnection] = {}
        self._next_id = 0
        self._wake = trio.Event()
        self._sleeping_until = 0.0
        self._listener: Listener | None = None

    def feed(self, event: ev.Event) -> None:
        """Reduce an event and carry out its effects; events that these cause come after it."""
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            while self._events:
                self._take(self._events.popleft())
        finally:
            self._reducing = False
        if self.state.next_due() < self._sleeping_until:
            self._wake.set()

    def _take(self, event: ev.Event) -> None:
        """Reduce one event; a fault of the program costs that event, not the node."""
        try:
            for effect in reduce(self.state, event, trio.current_time()):
                _EFFECT_HANDLERS[type(effect)](self, effect)
        except Exception as exc:
            where = "".join(traceback.format_tb(exc.__traceback__)[-2:])
            error = log.UnexpectedError(type(event).__name__, repr(exc), where)
            self.log.write(error, trio.current_time())
            self.metrics.count("cactussaddle_errors_total", {"event": error.event})

    async def run_timers(self) -> None:
        """Feed a tick whenever one is due, and write the log."""
        sweep_at = 0.0
        while True:
            self._sleeping_until = self.state.next_due()
            self._wake = trio.Event()
            with trio.move_on_at(self._sleeping_until):
                await self._wake.wait()
            self._sleeping_until = 0.0
            self.feed(ev.Tick())
            now = trio.current_time()
            self.log.flush(now)
            if now >= sweep_at:
                sweep_at = now + SWEEP_EVERY_S
                self.leaf_caller.sweep(now)

    def hooks(self, listener: Listener) -> CallerHooks:
        """Return what callers' connections tell this node."""
        self._listener = listener
        return CallerHooks(
            next_id=self._take_id,
            arrived=self._arrived,
            gone=self._gone,
            ended=listener.connections.discard,
            stopping=lambda: self.state.stopping.closing(trio.current_time()),
            limits=self._limits,
        )

    def breach(self, breach: Breach) -> None:
        """Log and count a broken promise."""
        self.metrics.count("cactussaddle_breaches_total", {"promise": breach.promise.value})
        self.log.write(log.Breach(breach.promise.value, breach.detail), trio.current_time())

    def note(self, effect: fx.Note) -> None:
        """Write a log line."""
        self.log.write(effect.event, trio.current_time())

    def gauges(self, registry_age_s: float, store_calls: int) -> dict[str, dict[str, float]]:
        """Return the present values of the metrics that are no counters."""
        standings = Counter(leaf.standing.value for leaf in self.state.fleet.leaves.values())
        table = self.state.tables.table
        return {
            "cactussaddle_requests": {"": len(self.state.fanout.queries)},
            "cactussaddle_leaves": {name: float(count) for name, count in standings.items()},
            "cactussaddle_members": {"": len(self.state.members)},
            "cactussaddle_table_version": {"": table.version if table is not None else 0},
            "cactussaddle_store_calls": {"": store_calls},
            "cactussaddle_log_lines_dropped": {"": self.log.lines_dropped},
            "cactussaddle_registry_age_seconds": {"": registry_age_s},
        }

    def _take_id(self) -> int:
        self._next_id += 1
        return self._next_id

    def _limits(self) -> CallerLimits:
        table = self.state.tables.table
        return table.limits if table is not None else DEFAULT_CALLER_LIMITS

    def _arrived(self, number: int, connection: CallerConnection, request: IncomingRequest) -> None:
        decoded = callers.decode_request(number, request.head, request.body)
        if isinstance(decoded, str):
            declined = fan.Declined(number, "", ResultCode.BAD_REQUEST, decoded, False, 0.0)
            connection.answer(number, callers.encode_declined(declined))
            self.log.write(
                log.RequestRefused("", declined.code.name, decoded, 0.0), trio.current_time()
            )
            return
        self._connections[number] = connection
        self.feed(ev.RequestArrived(decoded))

    def _gone(self, number: int) -> None:
        if self._connections.pop(number, None) is not None:
            self.feed(ev.CallerGone(number))

    def _answer(self, number: int, answer: Answer) -> None:
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.answer(number, answer)

    def _send_call(self, effect: fan.SendCall) -> None:
        query = effect.call.part.query
        left_s = query.deadline - trio.current_time() - LEAF_DEADLINE_SPARE_S
        self.leaf_caller.send(effect.call, left_s)

    def _merged(self, effect: fan.Merged) -> None:
        self._answer(effect.query.request.req_id, callers.encode_merged(effect))
        self._note_end(effect, effect.query)

    def _relayed(self, effect: fan.Relayed) -> None:
        self._answer(effect.query.request.req_id, callers.encode_relayed(effect))
        self._note_end(effect, effect.query)

    def _declined(self, effect: fan.Declined) -> None:
        self._answer(effect.req_id, callers.encode_declined(effect))
        if effect.query is not None:
            self._note_end(effect, effect.query)
            return
        retry_ms = round(effect.retry_after_s * 1000.0, 1)
        event = log.RequestRefused(effect.request_id, effect.code.name, effect.message, retry_ms)
        self.log.write(event, trio.current_time())
        self.metrics.answered("none", event.result, 0.0)

    def _note_end(self, answer: fan.Merged | fan.Relayed | fan.Declined, query: Query) -> None:
        now = trio.current_time()
        age_s = now - self.state.registry_seen_at
        event = request_ended(answer, query, age_s, now)
        self.log.write(event, now)
        self.metrics.answered(event.route, event.result, now - query.started_at)
        self.metrics.extra_calls(event.hedges, event.retries)

    def _probe(self, effect: fan.ProbeLeaf) -> None:
        table = self.state.tables.table
        spec = table.services.get(effect.leaf.entry.service) if table is not None else None
        self.leaf_caller.probe(effect.leaf, spec.health_path if spec is not None else "/")

    def _close_idle(self, effect: fx.CloseIdle) -> None:
        if self._listener is not None:
            self._listener.finish_idle()

    def _set_place(self, effect: fx.SetPlace) -> None:
        if self.place_changed is not None:
            self.place_changed(effect.place)

    def _record_rollout(self, effect: RecordRollout) -> None:
        self._nursery.start_soon(self._write_status, effect)

    async def _write_status(self, effect: RecordRollout) -> None:
        if self.rollout_records is None:
            return
        written = await self.rollout_records.write(effect)
        if isinstance(written, Failure):
            reason = written.failure().detail
        elif not written.unwrap():
            reason = "the order or the status has changed"
        else:
            return
        failed = log.RolloutWriteFailed(effect.order.move, effect.state.value, reason)
        self.log.write(failed, trio.current_time())

    def _end_process(self, effect: fx.EndProcess) -> None:
        if self._listener is None or self._listener.end(forced=effect.forced):
            self.stopped.set()

    async def answers_read(self) -> None:
        """Wait until callers have read their last answers, for a short time at most."""
        if self._listener is not None:
            with trio.move_on_after(LAST_ANSWERS_S):
                await self._listener.all_ended()


_EFFECT_HANDLERS: dict[type[Any], Any] = {
    fan.SendCall: EdgeDaemon._send_call,
    fan.EndCall: lambda daemon, effect: daemon.leaf_caller.end(effect.call, effect.linger_s),
    fan.Merged: EdgeDaemon._merged,
    fan.Relayed: EdgeDaemon._relayed,
    fan.Declined: EdgeDaemon._declined,
    fan.ProbeLeaf: EdgeDaemon._probe,
    fx.KeepConnections: lambda daemon, effect: daemon.leaf_caller.keep(effect.leaves),
    fx.Note: EdgeDaemon.note,
    fx.CloseIdle: EdgeDaemon._close_idle,
    fx.SetPlace: EdgeDaemon._set_place,
    fx.TellHints: lambda daemon, effect: daemon.datagrams.tell_hints(effect),
    fx.TellCrashes: lambda daemon, effect: daemon.datagrams.tell_crashes(effect),
    fx.TellEvidence: lambda daemon, effect: daemon.datagrams.tell_evidence(effect),
    fx.TellNews: lambda daemon, effect: daemon.datagrams.tell_news(effect),
    RecordRollout: EdgeDaemon._record_rollout,
    fx.EndProcess: EdgeDaemon._end_process,
}


def _rules(cfg: HostSettings) -> EdgeRules:
    bounds = cfg.bounds
    return EdgeRules(
        budget=BudgetRules(bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s),
        cold=ColdRules(bounds.cold_over, bounds.cold_slack),
    )


async def serve(
    cfg: HostSettings, path: Path, metrics_port: int, callers_sock: socket.socket | None
) -> None:
    """Run a node until it is asked to stop and its work in hand has finished.

    `callers_sock` listens for callers already, if given.
    """
    async with trio.open_nursery() as nursery:
        daemon = EdgeDaemon(cfg=cfg, nursery=nursery)
        set_handler(daemon.breach)
        limits = cfg.limits
        daemon.note(
            fx.Note(log.Started(cfg.domain, cfg.ip, os.getpid(), limits.cores, limits.memory_mb))
        )
        store = KvStore(address=cfg.store.address._replace(local_host=cfg.ip), nursery=nursery)
        daemon.rollout_records = RolloutRecords(store=store)
        follower = Follower(
            store=StoreFeed(store=store),
            peers=PeerClient(nursery=nursery, local_host=cfg.ip),
            decoder=registry,
            feed=daemon.feed,
        )
        sources = PageSources(
            ready=daemon.state.is_ready,
            dump=lambda: dump(daemon.state, follower, trio.current_time()),
            metrics=lambda: daemon.metrics.render(
                daemon.gauges(follower.age_s(trio.current_time()), store.calls)
            ),
        )
        pages = Pages(ready_path=READY_PATH, sources=sources)
        reloader = Reloader(
            path=path,
            cfg=cfg,
            rules_of=_rules,
            feed=daemon.feed,
            note=lambda event: daemon.note(fx.Note(event)),
        )
        daemon.place_changed = follower.choice.set_place
        peer_server = PeerServer(follower=follower, nursery=nursery)
        callers_sock = callers_sock or listen(*cfg.callers[:2])
        listeners = [
            Listener(sock=callers_sock, nursery=nursery, hooks=daemon.hooks),
            Listener(sock=listen(*cfg.readiness[:2]), nursery=nursery, hooks=pages.hooks),
            Listener(sock=listen(cfg.ip, cfg.peer_port), nursery=nursery, hooks=peer_server.hooks),
            Listener(sock=listen(cfg.ip, metrics_port), nursery=nursery, hooks=pages.hooks),
        ]
        if cfg.admin is not None:
            admin_sock = listen(*cfg.admin[:2])
            listeners.append(Listener(sock=admin_sock, nursery=nursery, hooks=pages.hooks))
        for listener in listeners:
            nursery.start_soon(listener.accept)
        nursery.start_soon(daemon.run_timers)
        nursery.start_soon(daemon.datagrams.listen)
        nursery.start_soon(follower.run)
        nursery.start_soon(
            register,
            NodeEntry(store=store, cfg=cfg),
            RegisterHooks(
                note=daemon.note,
                answered=follower.confirm,
                unanswered=follower.interrupt,
                reads_store=lambda: follower.choice.reads_store,
            ),
        )
        nursery.start_soon(reloader.run)
        nursery.start_soon(_load_metrics, daemon)
        nursery.start_soon(_watch_signals, daemon, reloader)
        await daemon.stopped.wait()
        await daemon.answers_read()
        daemon.note(fx.Note(log.Stopped(len(daemon.state.fanout.queries))))
        daemon.log.flush(trio.current_time())
        nursery.cancel_scope.cancel()


async def _load_metrics(daemon: EdgeDaemon) -> None:
    await trio.sleep(LOAD_METRICS_AFTER_S)
    daemon.metrics.load()


async def _watch_signals(daemon: EdgeDaemon, reloader: Reloader) -> None:
    with trio.open_signal_receiver(*SIGNALS) as signals:
        release_signals()
        async for number in signals:
            if number == signal.SIGHUP:
                reloader.reload()
            else:
                daemon.feed(ev.StopAsked(daemon.cfg.bounds.shutdown_grace_s))
