"""Random planned stops over real nodes: signals in series, at any moment, callers of all kinds that go on."""

from __future__ import annotations

import functools
import random
import signal

from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from tests.soak.configs import PLAIN
from tests.soak.nodes import CALLER_PORT
from tests.soak.nodes import GRACE_S
from tests.soak.run import DOMAINS
from tests.soak.run import Soak
from tests.soak.stops import DelayLine
from tests.soak.stops import Record
from tests.soak.stops import StopCaller
from tests.soak.stops import keep_asking
from tests.soak.stops import listens
from tests.soak.stops import stop
from tests.soak.stops import throttle

if TYPE_CHECKING:
    from tests.soak.ledger import Ledger
    from tests.soak.nodes import NodeProcess
    from tests.soak.run import Options

LOADED_S = 3.0
NOTICED_S = 0.5
DELAYS_S = (0.0, 0.0, 0.002, 0.02, 0.06, 0.15)
WORKS_MS = ((5.0, 30.0), (50.0, 300.0), (300.0, 2500.0))
PER_S = (1.0, 6.0)
SEARCHES = 0.2
UPLOADS = (0.0, 0.0, 0.3)
# Shares of the processor of nodes on busy hosts, and how many nodes are on one as they stop.
SHARES = (0.3, 0.5)
BUSY_FRACTION = 0.3
PAUSES_S = (0.0, 0.0, 0.0, 0.4, 1.2)
STOPS_PER_S = 0.4
MORE_LEAVES = 12
CONFIG_EVERY_S = (0.5, 3.0)


class StopPlan(NamedTuple):
    """One stop: when and which node, how many SIGTERMs, how many SIGHUPs between, on what share.

    The process is paused as the first signal is sent, for `paused_s`.
    """

    at: float
    which: int
    signals: int
    apart_s: float
    reloads: int
    share: float
    paused_s: float


def draw_stops(rng: random.Random, seconds: float, nodes: int) -> list[StopPlan]:
    """Return the stops of a run in order of time."""
    plans = []
    at = 0.0
    while (at := at + rng.expovariate(STOPS_PER_S)) < seconds:
        is_busy = rng.random() < BUSY_FRACTION
        plans.append(
            StopPlan(
                at=at,
                which=rng.randrange(nodes),
                signals=rng.choice((1, 1, 1, 2, 40)),
                apart_s=rng.uniform(0.002, 0.4),
                reloads=rng.choice((0, 0, 1, 3)),
                share=rng.choice(SHARES) if is_busy else 1.0,
                paused_s=0.0 if is_busy else rng.choice(PAUSES_S),
            )
        )
    return plans


class StopSoak:
    """The callers and the stops of one run."""

    def __init__(self, *, soak: Soak, options: Options, nursery: trio.Nursery) -> None:
        self.soak = soak
        self.record = Record(soak=soak)
        self._options = options
        self._nursery = nursery
        self._rng = random.Random(f"stops {options.seed}")
        self._stopping: set[str] = set()

    async def start_callers(self) -> None:
        for number in range(self._options.callers):
            rng = random.Random(f"caller {number} of {self._options.seed}")
            node = self.soak.nodes[number % len(self.soak.nodes)]
            caller = StopCaller(
                name=f"c{number}",
                choose=functools.partial(_same, node),
                record=self.record,
                kept=rng.random() < 0.6,
                address=await self._line(node, rng.choice(DELAYS_S)),
            )
            works_ms = rng.choice(WORKS_MS)
            uploads = rng.choice(UPLOADS)
            self._nursery.start_soon(
                keep_asking, caller, rng.uniform(*PER_S), works_ms, rng, SEARCHES, uploads
            )

    async def _line(self, node: NodeProcess, delay_s: float) -> tuple[str, int]:
        if not delay_s:
            return node.ip, CALLER_PORT
        line = DelayLine(target=(node.ip, CALLER_PORT), delay_s=delay_s)
        await line.listen(self._nursery)
        return line.address

    async def run_stops(self) -> None:
        """Bring on the stops of the seed, which may overlap on different nodes."""
        began = trio.current_time()
        for plan in draw_stops(self._rng, self._options.seconds, len(self.soak.nodes)):
            await trio.sleep_until(began + plan.at)
            self._nursery.start_soon(self._bring, plan)
        await trio.sleep_until(began + self._options.seconds + GRACE_S + NOTICED_S)

    async def _bring(self, plan: StopPlan) -> None:
        node = self.soak.nodes[plan.which]
        if node.name in self._stopping or not await listens(node):
            return
        self.soak.note(f"{node.name} {plan}")
        self._stopping.add(node.name)
        async with trio.open_nursery() as nursery:
            if plan.share < 1.0:
                nursery.start_soon(throttle, node, plan.share)
            nursery.start_soon(self._reload, node, plan)
            if plan.paused_s:
                nursery.start_soon(_pause, node, plan.paused_s)
            await stop(node, self.record, GRACE_S, plan.signals, plan.apart_s)
            nursery.cancel_scope.cancel()
        self._stopping.discard(node.name)

    async def _reload(self, node: NodeProcess, plan: StopPlan) -> None:
        child = node.child
        assert child is not None
        for _ in range(plan.reloads):
            await trio.sleep(self._rng.uniform(0.0, GRACE_S / 2.0))
            node.write_settings(budget_slack=40 + self._rng.randrange(3))
            child.send_signal(signal.SIGHUP)

    async def keep_configuring(self) -> None:
        """Write versions at uneven intervals until cancelled."""
        while True:
            await trio.sleep(self._rng.uniform(*CONFIG_EVERY_S))
            self.soak.write_next()

    def check(self) -> None:
        """Add what broke a promise to the ledger."""
        ledger, record = self.soak.ledger, self.record
        for stopped in record.killed():
            ledger.breach(f"killed at the end of its grace period: {stopped}")
        for stopped in record.ended_by_signal():
            ledger.breach(f"ended by a signal: {stopped}")
        for sent in record.cut_at_leaves():
            ledger.breach(f"a leaf had it: {sent}")
        for sent in record.cut_outside_stops():
            ledger.breach(f"a leaf had it, and no stop was under way: {sent}")
        for line in record.dropped_lines():
            ledger.breach(f"read and dropped: {line}")
        for node in self.soak.nodes:
            for line in node.faults_logged():
                ledger.breach(f"{node.name} logged: {line}")
        for sent in record.sent:
            ledger.results[f"status {sent.status}"] += 1
        ledger.results["stops"] += len(record.stops)


async def _pause(node: NodeProcess, for_s: float) -> None:
    child = node.child
    assert child is not None
    child.send_signal(signal.SIGSTOP)
    try:
        await trio.sleep(for_s)
    finally:
        child.send_signal(signal.SIGCONT)


def _same(node: NodeProcess) -> NodeProcess:
    return node


async def run_stops(options: Options) -> Ledger:
    """Run one seed; return what callers, leaves and the operator saw."""
    async with trio.open_nursery() as nursery:
        soak = Soak(options=options, nursery=nursery)
        try:
            await soak.start()
            for number in range(MORE_LEAVES):
                await soak.add_leaf(PLAIN, DOMAINS[number % len(DOMAINS)], version=f"v1.{number}")
            await trio.sleep(LOADED_S)
            stops = StopSoak(soak=soak, options=options, nursery=nursery)
            await stops.start_callers()
            nursery.start_soon(stops.keep_configuring)
            await stops.run_stops()
            stops.check()
        finally:
            for node in soak.nodes:
                node.end()
            nursery.cancel_scope.cancel()
    return soak.ledger
