"""Starts the components of an edge node and runs them until it is asked to stop."""

from __future__ import annotations

import os
import random
import signal
import time

from typing import TYPE_CHECKING

import trio

from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.explaining import explain
from cactussaddle_core.edge.state import HOUSEKEEPING_S
from cactussaddle_core.edge.stopping import longest_ago_s
from cactussaddle_core.invariants import set_handler
from cactussaddle_node.edge.clock import boot_time
from cactussaddle_node.edge.daemon import EdgeDaemon
from cactussaddle_node.edge.daemon import rules_of
from cactussaddle_node.edge.dump import dump
from cactussaddle_node.edge.duties import DutyClients
from cactussaddle_node.edge.duties import DutyOutputs
from cactussaddle_node.edge.duties import DutyRunner
from cactussaddle_node.edge.follow import Follower
from cactussaddle_node.edge.listener import Listener
from cactussaddle_node.edge.pages import Pages
from cactussaddle_node.edge.pages import PageSources
from cactussaddle_node.edge.peerwire import PeerClient
from cactussaddle_node.edge.peerwire import PeerServer
from cactussaddle_node.edge.register import RegisterHooks
from cactussaddle_node.edge.register import register
from cactussaddle_node.edge.reload import Reloader
from cactussaddle_node.startup import listen
from cactussaddle_platform import registry
from cactussaddle_platform.duties import DutyRecords
from cactussaddle_platform.kv import KvStore
from cactussaddle_platform.names import READY_PATH
from cactussaddle_platform.registry import NodeEntry
from cactussaddle_platform.registry import RolloutRecords
from cactussaddle_platform.registry import RosterRecords
from cactussaddle_platform.registry import StoreFeed
from cactussaddle_platform.registry import TrialRecords
from cactussaddle_platform.usage import UsageClient

if TYPE_CHECKING:
    import socket

    from collections.abc import Callable
    from pathlib import Path

    from cactussaddle_common.tasks import TaskStarter
    from cactussaddle_node.signals import ReceivedSignal
    from cactussaddle_node.signals import SignalInbox
    from cactussaddle_platform.settings import HostSettings
    from cactussaddle_platform.settings import UsageSettings

METRICS_LOAD_DELAY_S = 5.0


async def serve(
    cfg: HostSettings,
    path: Path,
    metrics_port: int,
    callers_sock: socket.socket | None,
    inbox: SignalInbox,
) -> None:
    """Run a node until it is asked to stop and its requests in progress have finished.

    `callers_sock`, if given, is a socket that already listens for callers. `inbox` holds the signals
    that have arrived, and gets those to come.
    """
    async with trio.open_nursery() as nursery:
        daemon = EdgeDaemon(cfg=cfg, nursery=nursery)
        daemon.ticked = lambda: _ticked(daemon, inbox)
        guard, tasks = daemon.guard, daemon.tasks
        set_handler(daemon.breach)
        limits = cfg.limits
        daemon.note(
            fx.LogEvent(
                log.Started(cfg.domain, cfg.ip, os.getpid(), limits.cores, limits.memory_mb)
            )
        )
        store = KvStore(address=cfg.store.address._replace(local_host=cfg.ip), nursery=tasks)
        daemon.records.rollouts = RolloutRecords(store=store)
        daemon.records.trials = TrialRecords(store=store)
        daemon.records.roster = RosterRecords(store=store)
        if cfg.usage is not None:
            daemon.duty = _duty(cfg, cfg.usage, daemon, store, tasks)
        follower = Follower(
            store=StoreFeed(store=store),
            peers=PeerClient(nursery=tasks, local_host=cfg.ip),
            decoder=registry,
            feed=daemon.feed,
            clock=boot_time,
            confirmed=lambda at: daemon.feed(ev.RecordsConfirmed(at)),
        )
        sources = PageSources(
            ready=daemon.state.is_ready,
            dump=lambda: dump(daemon.state, follower, trio.current_time(), daemon.duty),
            explain=lambda host, path, team: explain(
                daemon.state, host, path, team, trio.current_time()
            ),
            metrics=lambda: daemon.metrics.render(
                daemon.gauges(follower.age_s(follower.clock()), store.calls)
            ),
        )
        pages = Pages(ready_path=READY_PATH, sources=sources)
        reloader = Reloader(
            path=path,
            cfg=cfg,
            rules_of=rules_of,
            feed=daemon.feed,
            note=lambda event: daemon.note(fx.LogEvent(event)),
        )
        daemon.place_changed = follower.choice.set_position
        peer_server = PeerServer(
            follower=follower, nursery=tasks, guard=guard, queries=daemon.delegate_server
        )
        callers_sock = callers_sock or listen(*cfg.callers[:2])
        budget = daemon.caller_budget
        most = budget.account.rules
        socks = [
            (callers_sock, daemon.hooks, most.callers),
            (listen(*cfg.readiness[:2]), pages.hooks, most.pages),
            (listen(cfg.ip, cfg.peer_port), peer_server.hooks, most.peers),
            (listen(cfg.ip, metrics_port), pages.hooks, most.pages),
        ]
        if cfg.admin is not None:
            socks.append((listen(*cfg.admin[:2]), pages.hooks, most.pages))
        for sock, hooks, count in socks:
            listener = Listener(
                sock=sock, nursery=tasks, guard=guard, hooks=hooks, budget=budget, most=count
            )
            nursery.start_soon(guard.run_restarting, "listener", listener.accept)
        nursery.start_soon(guard.run_restarting, "timers", daemon.run_timers)
        nursery.start_soon(guard.run_restarting, "datagrams", daemon.datagrams.listen)
        nursery.start_soon(guard.run_restarting, "follower", follower.run)
        entry = NodeEntry(
            store=store,
            cfg=cfg,
            process=daemon.process,
            enrolled=lambda enrolment: daemon.feed(ev.Enrolled(enrolment)),
        )
        registration = RegisterHooks(
            note=daemon.note, entry_gone=lambda: daemon.entry_gone, rng=random.Random()
        )
        nursery.start_soon(guard.run_restarting, "registration", register, entry, registration)
        nursery.start_soon(guard.run_restarting, "settings", reloader.run)
        nursery.start_soon(guard.run_once, "metrics", _load_metrics, daemon)
        nursery.start_soon(guard.run_restarting, "signals", _watch_signals, daemon, reloader, inbox)
        await daemon.stopped.wait()
        await daemon.end_connections()
        stopped = log.Stopped(len(daemon.state.fanout.queries), daemon.connections_left)
        daemon.note(fx.LogEvent(stopped))
        daemon.log.close(trio.current_time())
        nursery.cancel_scope.cancel()


def _duty(
    cfg: HostSettings,
    usage: UsageSettings,
    daemon: EdgeDaemon,
    store: KvStore,
    nursery: TaskStarter,
) -> DutyRunner:
    """Return this node's part in the duty to report usage, which counts the daemon's requests."""
    address = usage.address._replace(local_host=cfg.ip)
    clients = DutyClients(
        records=DutyRecords(store=store, clock=boot_time),
        usage=UsageClient(address=address, node=cfg.node, nursery=nursery),
        datagrams=daemon.datagrams,
    )
    outputs = DutyOutputs(nursery, daemon.guard, daemon.note, daemon.metrics)
    runner = DutyRunner(state=daemon.state, rules=usage.rules, clients=clients, outputs=outputs)
    daemon.state.fanout.run_began = runner.began
    return runner


def _ticked(daemon: EdgeDaemon, inbox: SignalInbox) -> None:
    inbox.record_run()
    if daemon.duty is not None:
        daemon.duty.tick()


async def _load_metrics(daemon: EdgeDaemon) -> None:
    await trio.sleep(METRICS_LOAD_DELAY_S)
    daemon.metrics.load()
    daemon.collector.loaded()


def _longest_ago_s(received: ReceivedSignal) -> float:
    now = time.monotonic()
    return longest_ago_s(now - received.at, now - received.ran_at, HOUSEKEEPING_S)


def _guarded(daemon: EdgeDaemon, reload: Callable[[], None]) -> None:
    """Reload the settings; an unexpected error must not lose the signals that wait behind it."""
    try:
        reload()
    except Exception as exc:
        daemon.guard.failed("settings", exc)


async def _watch_signals(daemon: EdgeDaemon, reloader: Reloader, inbox: SignalInbox) -> None:
    arrived = trio.lowlevel.ParkingLot()
    token = trio.lowlevel.current_trio_token()
    inbox.notify(lambda: token.run_sync_soon(arrived.unpark_all, idempotent=True))
    try:
        while True:
            received = inbox.oldest()
            if received is None:
                await arrived.park()
                continue
            _handle_signal(daemon, reloader, received)
            inbox.remove_oldest()
    finally:
        inbox.notify(None)


def _handle_signal(daemon: EdgeDaemon, reloader: Reloader, received: ReceivedSignal) -> None:
    if received.number == signal.SIGHUP:
        _guarded(daemon, reloader.reload)
        return
    _guarded(daemon, reloader.reload_changed)
    grace_s = reloader.cfg.bounds.shutdown_grace_s
    daemon.feed(ev.StopAsked(grace_s, _longest_ago_s(received)))
