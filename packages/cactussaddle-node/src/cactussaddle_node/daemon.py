"""The daemon: feeds input to the reducer as events and carries out the effects it returns."""

from __future__ import annotations

import os
import random
import signal
import time

from typing import TYPE_CHECKING
from typing import Any

import trio
import trio_asyncio

from hypercorn.config import Config as HypercornConfig
from hypercorn.trio import serve as serve_http
from returns.result import Success

from cactussaddle_common import logs
from cactussaddle_common.hostlist import HostList
from cactussaddle_common.hostlist import HostState
from cactussaddle_common.store import EtcdStore
from cactussaddle_core.invariants import Breach
from cactussaddle_core.invariants import raise_breach
from cactussaddle_core.invariants import set_handler
from cactussaddle_core.node import effects as fx
from cactussaddle_core.node.documents import CONFIG
from cactussaddle_core.node.documents import PLACEMENT
from cactussaddle_core.node.dump import dump
from cactussaddle_core.node.events import CallerGone
from cactussaddle_core.node.events import HostEntry
from cactussaddle_core.node.events import HostsSeen
from cactussaddle_core.node.events import LinkDown
from cactussaddle_core.node.events import PeerMessage
from cactussaddle_core.node.events import StopAsked
from cactussaddle_core.node.events import Tick
from cactussaddle_core.node.events import Unsent
from cactussaddle_core.node.reduce import reduce
from cactussaddle_core.node.state import NodeIdentity
from cactussaddle_core.node.state import NodeState
from cactussaddle_node.http import Handlers
from cactussaddle_node.http import make_app
from cactussaddle_node.leafrunner import ConnectionLimits
from cactussaddle_node.leafrunner import LeafRunner
from cactussaddle_node.metrics import Metrics
from cactussaddle_node.peers.transport import PeerIdentity
from cactussaddle_node.peers.transport import PeerTransport
from cactussaddle_node.recordstore import RecordLease
from cactussaddle_node.recordstore import follow_final_states
from cactussaddle_node.recordstore import record_move
from cactussaddle_node.recordstore import write_records
from cactussaddle_node.storewatch import CONFIG_KEY
from cactussaddle_node.storewatch import PLACEMENT_KEY
from cactussaddle_node.storewatch import WatchRole
from cactussaddle_node.storewatch import follow
from cactussaddle_node.storewatch import write_placement

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.storeapi import Store
    from cactussaddle_core.node.effects import Answer
    from cactussaddle_core.node.events import CallerRequest
    from cactussaddle_node.settings import NodeSettings

STORE_TIMEOUT_S = 2.0
HOST_LIST_INTERVAL_S = 1.0
HOST_LIST_IDLE_INTERVAL_S = 5.0
HOST_LIST_TIMEOUT_S = 2.0
ENTRY_ROLE = "entry"


class Daemon:
    """Owns the node's state; every event reaches the reducer through `feed`."""

    def __init__(self, *, cfg: NodeSettings, nursery: trio.Nursery, store: Store) -> None:
        incarnation = time.time_ns() // 1_000_000
        self.cfg = cfg
        self.nursery = nursery
        self.store = store
        self.record_lease = RecordLease(store=store)
        self.me = NodeIdentity(cfg.node_name, incarnation, cfg.advertise_peer, cfg.domain)
        seed = cfg.seed or random.SystemRandom().getrandbits(32)
        self.state = NodeState(me=self.me, policy=cfg.policy, seed=seed, first_wave=cfg.first_wave)
        self.metrics = Metrics()
        self.waiting: dict[int, trio.Event] = {}
        self.answers: dict[int, Answer] = {}
        self.wake = trio.Event()
        self.stopped = trio.Event()
        self._next_req = 0
        self.breaches = 0
        self._wake_at = 0.0
        self.runner = LeafRunner(
            node=f"{cfg.node_name}-{incarnation:x}",
            local_host=cfg.listen_host,
            nursery=nursery,
            feed=self.feed,
            limits=ConnectionLimits(
                allowed=lambda leaf: self.state.connections_held(leaf, time.monotonic()),
                may_open=lambda leaf: self.state.open_connection(leaf, time.monotonic()),
                closed=lambda leaf: self.state.close_connection(leaf, time.monotonic()),
            ),
        )
        self.transport = PeerTransport(
            identity=PeerIdentity(self.me.node, incarnation, self.me.address),
            listen_host=cfg.listen_host,
            listen_port=cfg.peer_port,
            clock=time.monotonic,
            on_message=lambda node, message: self.feed(PeerMessage(node, message)),
            on_down=lambda node: self.feed(LinkDown(node)),
        )

    def feed(self, event: Any) -> None:
        """Pass one event to the reducer and carry out the resulting effects."""
        for effect in reduce(self.state, event, time.monotonic(), time.time()):
            _EFFECT_HANDLERS[type(effect)](self, effect)
        if self.state.next_due() < self._wake_at:
            self.wake.set()

    async def run_timers(self) -> None:
        """Feed a tick whenever the reducer's next timer is due."""
        while True:
            self._wake_at = self.state.next_due()
            self.wake = trio.Event()
            with trio.move_on_after(max(0.0, self._wake_at - time.monotonic())):
                await self.wake.wait()
            self._wake_at = 0.0
            self.feed(Tick())

    def breach(self, breach: Breach) -> None:
        """Log and count a broken promise; in strict mode, raise an error that ends the process."""
        logs.error("breach", promise=breach.promise.value, detail=breach.detail)
        self.metrics.breaches.inc({"promise": breach.promise.value})
        self.breaches += 1
        if self.cfg.strict:
            raise_breach(breach)

    def next_id(self) -> int:
        """Return a new request id."""
        self._next_req += 1
        return self._next_req

    async def submit(self, event: CallerRequest) -> Answer:
        """Pass a caller's request to the reducer and wait for its answer."""
        started = time.monotonic()
        answered = self.waiting[event.req_id] = trio.Event()
        try:
            self.feed(event)
            await answered.wait()
            answer = self.answers.pop(event.req_id)
        finally:
            del self.waiting[event.req_id]
            if not answered.is_set():
                self.feed(CallerGone(event.req_id))
        self.metrics.answered(event.route, answer.doc, time.monotonic() - started)
        return answer

    def answer(self, effect: Answer) -> None:
        """Pass an answer to the caller that waits for it, if it still does."""
        answered = self.waiting.get(effect.req_id)
        if answered is not None and not answered.is_set():
            self.answers[effect.req_id] = effect
            answered.set()

    def send_peer(self, effect: fx.SendPeer) -> None:
        """Send a message to a peer; feed `Unsent` if it cannot be sent."""
        address = effect.address or self.state.address_of(effect.node)
        if not self.transport.send(effect.node, address, effect.message):
            self.metrics.unsent.inc({})
            self.feed(Unsent(effect.node, effect.message))

    def write_placement(self, effect: fx.WritePlacement) -> None:
        """Write the placement in the background."""
        self.nursery.start_soon(write_placement, self.store, effect, self.feed)

    def write_records(self, effect: fx.WriteRecords) -> None:
        """Write at-most-once records in the background."""
        self.nursery.start_soon(write_records, self.store, self.record_lease, effect, self.feed)

    def record_move(self, effect: fx.RecordMove) -> None:
        """Store the final state of a move in the background."""
        self.nursery.start_soon(record_move, self.store, self.me.node, effect, self.feed)

    def stop_process(self, effect: fx.StopProcess) -> None:
        """End the process because a newer incarnation has replaced it."""
        logs.error("superseded", reason=effect.reason)
        self.stopped.set()

    def end_process(self, effect: fx.EndProcess) -> None:
        """End the process after its graceful shutdown has completed."""
        self.stopped.set()

    def healthy(self) -> bool:
        """Return whether the load balancer should send callers to this node."""
        return self.state.ready() and not self.state.stopping

    def dump(self) -> dict[str, Any]:
        """Return the state dump."""
        state = dump(self.state, time.monotonic(), time.time())
        return {**state, "breaches": self.breaches}


_LOG_LEVELS: dict[str, Any] = {
    "debug": logs.debug,
    "info": logs.log,
    "warning": logs.warning,
    "error": logs.error,
}


_EFFECT_HANDLERS: dict[type[Any], Any] = {
    fx.Answer: Daemon.answer,
    fx.SendPeer: Daemon.send_peer,
    fx.WritePlacement: Daemon.write_placement,
    fx.WriteRecords: Daemon.write_records,
    fx.RecordMove: Daemon.record_move,
    fx.StopProcess: Daemon.stop_process,
    fx.EndProcess: Daemon.end_process,
    fx.RunCall: lambda daemon, effect: daemon.runner.run(effect),
    fx.StopCall: lambda daemon, effect: daemon.runner.stop(effect),
    fx.WatchLeaves: lambda daemon, effect: daemon.runner.watch(effect.leaves),
    fx.Log: lambda daemon, effect: _LOG_LEVELS[effect.level](effect.event, **effect.fields),
}


async def follow_hosts(
    hosts: HostList, feed: Callable[[Any], None], is_urgent: Callable[[], bool]
) -> None:
    """Fetch and feed the host list periodically, less often while it is not urgently needed."""
    while True:
        outcome = await hosts.fetch()
        if isinstance(outcome, Success):
            entries = tuple(
                HostEntry(host.name, host.address, host.domain, host.state is HostState.LEAVING)
                for host in outcome.unwrap()
                if host.role == ENTRY_ROLE
            )
            feed(HostsSeen(entries))
        waited_s = 0.0
        while waited_s < HOST_LIST_IDLE_INTERVAL_S and (waited_s == 0.0 or not is_urgent()):
            await trio.sleep(HOST_LIST_INTERVAL_S)
            waited_s += HOST_LIST_INTERVAL_S


async def wait_for_stop(daemon: Daemon) -> None:
    """Feed a stop event on the first SIGTERM or SIGINT; later ones must not end the process."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if not daemon.state.stopping:
                logs.log("stop_asked")
                daemon.feed(StopAsked(daemon.cfg.stop_seconds))


async def serve(cfg: NodeSettings) -> None:
    """Run a node until it is asked to stop and its work in progress has finished."""
    async with (
        trio_asyncio.open_loop(),
        EtcdStore(endpoint=cfg.store, timeout_s=STORE_TIMEOUT_S) as store,
        HostList(endpoint=cfg.host_list, timeout_s=HOST_LIST_TIMEOUT_S) as hosts,
        trio.open_nursery() as nursery,
    ):
        daemon = Daemon(cfg=cfg, nursery=nursery, store=store)
        set_handler(daemon.breach)
        handlers = Handlers(
            submit=daemon.submit,
            next_id=daemon.next_id,
            healthy=daemon.healthy,
            dump=daemon.dump,
            metrics=daemon.metrics.render,
        )
        async with daemon.transport:
            nursery.start_soon(daemon.run_timers)
            role = WatchRole(daemon.state.is_watcher, lambda: daemon.state.store_up)
            nursery.start_soon(follow, store, CONFIG_KEY, CONFIG, daemon.feed, role)
            nursery.start_soon(follow, store, PLACEMENT_KEY, PLACEMENT, daemon.feed, role)
            nursery.start_soon(follow_final_states, store, daemon.feed, role)
            nursery.start_soon(follow_hosts, hosts, daemon.feed, daemon.state.needs_hosts)
            nursery.start_soon(wait_for_stop, daemon)
            logs.log("started", pid=os.getpid(), incarnation=daemon.me.incarnation)
            app: Any = make_app(handlers)
            await serve_http(app, _http_config(cfg), shutdown_trigger=daemon.stopped.wait)
            logs.log("stopped")
        nursery.cancel_scope.cancel()


def _http_config(cfg: NodeSettings) -> HypercornConfig:
    config = HypercornConfig()
    config.bind = [f"{cfg.listen_host}:{cfg.http_port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 3.0
    config.keep_alive_timeout = 60.0
    return config
