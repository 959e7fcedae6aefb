"""Simulated fleet of complete node states with a store, leaves, and callers behind a balancer."""

from __future__ import annotations

import collections

from typing import Any

import msgspec

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import SnapshotInfo
from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.config.model import build_config
from cactussaddle_core.config.model import decode_doc
from cactussaddle_core.moves import leaf_state
from cactussaddle_core.moves.domains import NO_NEW_WORK_S
from cactussaddle_core.moves.domains import SERVING
from cactussaddle_core.node.effects import Answer
from cactussaddle_core.node.effects import EndProcess
from cactussaddle_core.node.effects import RecordMove
from cactussaddle_core.node.effects import RunCall
from cactussaddle_core.node.effects import StopCall
from cactussaddle_core.node.effects import StopProcess
from cactussaddle_core.node.effects import WritePlacement
from cactussaddle_core.node.events import CallEnded
from cactussaddle_core.node.events import CallerRequest
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.node.events import FinalSeen
from cactussaddle_core.node.events import HealthSeen
from cactussaddle_core.node.events import StopAsked
from cactussaddle_core.node.events import StoreSeen
from tests.core.node.world import LEAVES
from tests.core.node.world import WALL
from tests.core.node.world import World

DOMAINS = 2
HEALTH_INTERVAL_S = 0.5
STORE_DELAY_S = 0.02
SETTLE_S = 5.0
MAX_STOP_S = 20.0
# How long the balancer still sends callers to a node that is shutting down.
BALANCER_DELAY_S = 1.8
IN_FORCE_S = 7.0
MAX_SKEW_S = 1.0
CHECK_INTERVAL_S = 0.1
DEADLINES_MS = (300.0, 300.0, 3000.0)
INFOS = (SnapshotInfo(1, 2, (0, 1)),)


class Fleet(World):
    """A world whose nodes run calls; `later` has the scheduled events as (due, node, start, event)."""

    def __init__(self, *, nodes: int, seed: int, loss: float):
        self.later: list[tuple[float, str, int, Any]] = []
        self.placement = b""
        self.epoch = 0
        self.finals: dict[str, Any] = {}
        self.final_at: dict[str, float] = {}
        self.store_up = True
        self.slow_s = 0.0
        self.calls_per_step = 2
        self.next_req = 0
        self.stopping: dict[str, float] = {}
        self.answers: collections.Counter[str] = collections.Counter()
        self.health_at = 0.0
        self.ended: set[str] = set()
        self.waiting: dict[int, str] = {}
        self.reached_since: dict[str, float] = {}
        super().__init__(nodes=nodes, seed=seed, loss=loss, domains=DOMAINS)
        self.accept(list(self.nodes))
        self.run(SETTLE_S)

    # Operators

    def plan(self, kind: MoveKind, target: str, lead_s: float, lasts_s: float) -> None:
        """Accept a configuration with one more move; every node that is not paused receives it."""
        if not self.store_up:
            return
        start = WALL + self.now + lead_s
        move = {
            "id": f"m{len(self.moves)}",
            "kind": kind,
            "target": target,
            "start": start,
            "finish": start + lasts_s,
        }
        self.moves.append(move)
        self.accept(self.awake())

    def start(self, name: str) -> None:
        """Start a node, or kill it and start its replacement."""
        super().start(name)
        self.waiting = {req: node for req, node in self.waiting.items() if node != name}
        self.reached_since[name] = self.now
        self.stopping.pop(name, None)
        self.ended.discard(name)

    def read_store(self, name: str) -> None:
        """Deliver what is new in the store to a node that watches it."""
        state = self.nodes[name]
        if not self.store_up or not state.is_watcher():
            return
        if state.cfg.revision < self.accepted:
            self.feed(name, DocSeen("config", self.document(self.accepted), "store"))
        if state.slots.epoch < self.epoch:
            self.feed(name, DocSeen("placement", self.placement, "store"))
        for move, final in self.finals.items():
            if move not in state.moves.finals:
                self.feed(name, FinalSeen(move, final))

    def stop(self, name: str) -> None:
        """Request a graceful shutdown of a node; it is replaced once its process has ended."""
        if name not in self.stopping and name not in self.paused:
            self.stopping[name] = self.now
            self.feed(name, StopAsked(MAX_STOP_S))

    # Faults

    def pause_or_wake(self, name: str) -> None:
        self.paused ^= {name}
        self.reached_since[name] = self.now

    def part(self, domains: frozenset[str]) -> None:
        """Partition domains from the others; an empty set ends the partition."""
        self.parted = domains
        self.reached_since = dict.fromkeys(self.nodes, self.now)

    def end_faults(self) -> None:
        if self.parted:
            self.part(frozenset())
        self.loss = self.slow_s = 0.0
        self.store_up = True
        for name in list(self.paused):
            self.pause_or_wake(name)

    def settle(self) -> None:
        """End all faults; check that the newest revision is in force everywhere and no caller waits."""
        self.end_faults()
        self.calls_per_step = 1
        self.run(IN_FORCE_S)
        self.calls_per_step = 0
        self.run(max(DEADLINES_MS) / 1000.0 + 1.0)
        revisions = {state.cfg.revision for state in self.nodes.values()}
        assert revisions == {self.accepted}, f"{revisions} in force, not {self.accepted}"
        assert not self.waiting, f"callers still waiting: {self.waiting}"

    # Time

    def step(self) -> None:
        due = [item for item in self.later if item[0] <= self.now and item[1] not in self.paused]
        self.later = [item for item in self.later if item not in due]
        for _, name, incarnation, event in due:
            if self.nodes[name].me.incarnation == incarnation:
                self.feed(name, event)
        if self.now >= self.health_at:
            self.health_at = self.now + HEALTH_INTERVAL_S
            self.send_health()
        self.call()
        super().step()
        for name in sorted(self.ended):
            self.start(name)

    def schedule(self, name: str, delay_s: float, event: Any) -> None:
        self.later.append((self.now + delay_s, name, self.nodes[name].me.incarnation, event))

    def send_health(self) -> None:
        for name in self.awake():
            for number in range(LEAVES):
                self.feed(name, HealthSeen(f"s1-{number}", True, "i1", INFOS))
            self.feed(name, StoreSeen(self.store_up))
            self.read_store(name)

    def call(self) -> None:
        """Send callers' requests to the nodes in the balancer, which notices a shutdown with a delay."""
        used = [
            name
            for name in self.awake()
            if self.now - self.stopping.get(name, self.now) < BALANCER_DELAY_S and self.ready(name)
        ]
        for _ in range(self.calls_per_step if used else 0):
            self.next_req += 1
            deadline_ms = self.rng.choice(DEADLINES_MS)
            request = CallerRequest(self.next_req, "r", b"{}", 10, deadline_ms, 0.1, "")
            name = self.rng.choice(used)
            self.waiting[self.next_req] = name
            self.feed(name, request)

    def ready(self, name: str) -> bool:
        return self.nodes[name].ready()

    # Effects

    def carry_out(self, name: str, effect: Any) -> None:
        match effect:
            case RunCall():
                self.run_call(name, effect)
            case StopCall():
                self.end_call(name, effect.sender, effect.call_id, CallOutcome.CANCELLED, 0.0)
            case WritePlacement():
                self.write_placement(effect)
            case RecordMove() if self.store_up:
                final = self.finals.setdefault(effect.move, effect.state)
                self.final_at.setdefault(effect.move, self.now)
                for other in self.nodes:
                    self.schedule(other, STORE_DELAY_S, FinalSeen(effect.move, final))
            case Answer():
                self.answers[effect.doc["name"]] += 1
                self.waiting.pop(effect.req_id, None)
            case EndProcess():
                self.check_stop(name)
                self.ended.add(name)
            case StopProcess():
                self.ended.add(name)
            case _:
                super().carry_out(name, effect)

    def check_stop(self, name: str) -> None:
        """Fail if a graceful shutdown ends while callers wait or the balancer may still send some."""
        unanswered = [req for req, node in self.waiting.items() if node == name]
        assert not unanswered, f"{name} ended with requests {unanswered} unanswered"
        assert (
            self.now - self.stopping[name] >= BALANCER_DELAY_S
        ), f"{name} ended, callers still come"

    def check_call(self, name: str, leaf: str) -> None:
        """Fail if a leaf gets new work although, by the true time, it has long been out of service.

        A node that was unreachable is exempt for as long as a new configuration may take to arrive.
        """
        bound_s = NO_NEW_WORK_S + MAX_SKEW_S + IN_FORCE_S
        if self.parted or not self.store_up or self.now - self.reached_since[name] < bound_s:
            return
        cfg = build_config(decode_doc(self.document(self.accepted)))
        back = frozenset(m for m, final in self.finals.items() if final is MoveState.TAKEN_BACK)
        long_back = frozenset(m for m in back if self.now - self.final_at[m] >= bound_s)
        since = WALL + self.now - bound_s
        long_out_of_service = all(
            leaf_state(cfg, leaf, wall, known) not in SERVING
            for wall in (
                since + CHECK_INTERVAL_S * step
                for step in range(round(bound_s / CHECK_INTERVAL_S) + 1)
            )
            for known in (back, long_back)
        )
        assert not long_out_of_service, f"{name} sends new work to {leaf}, which is out of service"

    def run_call(self, name: str, effect: RunCall) -> None:
        self.check_call(name, effect.call.leaf)
        seconds = self.slow_s + self.rng.uniform(0.005, 0.05)
        late = seconds > effect.timeout_s
        outcome = CallOutcome.LATE if late else CallOutcome.OK
        took = min(seconds, effect.timeout_s)
        self.end_call(name, effect.sender, effect.call.call_id, outcome, took, effect.call.leaf)

    def end_call(self, name, sender, call_id, outcome, seconds, leaf=""):
        info = INFOS[0]
        body = {
            "leaf": leaf,
            "incarnation": "i1",
            "snapshot": info.snapshot,
            "shards": list(info.shards),
            "of": info.of,
            "hits": [],
        }
        data = msgspec.json.encode(body) if outcome is CallOutcome.OK else b""
        event = CallEnded(sender, call_id, outcome, data, seconds, "i1", 0.0, ())
        self.schedule(name, seconds, event)

    def write_placement(self, effect: WritePlacement) -> None:
        if not self.store_up or effect.epoch != self.epoch + 1:
            return
        self.epoch, self.placement = effect.epoch, effect.data
        for other in self.nodes:
            self.schedule(other, STORE_DELAY_S, DocSeen("placement", effect.data, "store"))
