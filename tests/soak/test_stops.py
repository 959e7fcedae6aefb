"""Planned stops over real nodes whose callers go on until the process is gone."""

from __future__ import annotations

import functools
import random
import signal
import tempfile
import unittest

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import trio

from tests.soak.balancer import Balancer
from tests.soak.nodes import CALLER_PORT
from tests.soak.nodes import GRACE_S
from tests.soak.run import DOMAINS
from tests.soak.run import Options
from tests.soak.run import Soak
from tests.soak.stops import DelayLine
from tests.soak.stops import Record
from tests.soak.stops import StopCaller
from tests.soak.stops import keep_asking
from tests.soak.stops import listens
from tests.soak.stops import stop
from tests.soak.stops import throttle

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

SEED = 36
NODES = 3
LOADED_S = 3.0
STEADY_S = 2.0
NOTICED_S = 0.3
# Callers of the node under test, the rate of each, and the range of their requests' work times.
CALLERS = 24
CALLER_PER_S = 5.0
WORKS_MS = (100.0, 400.0)
# Nodes of three failure domains that are stopped in turn, and callers of all domains.
MANY_NODES = 7
STOPS_APART_S = 0.4
DOMAIN_CALLERS = 60
DOMAIN_CALLER_PER_S = 5.0
SEARCHES = 0.3
# Share of the processor of a node on a busy host.
BUSY_SHARE = 0.3
SLOW_LINE_S = 0.13
PAUSED_S = 1.5


class World:
    """The nodes under test, and callers of the first one."""

    def __init__(self, *, soak: Soak, nursery: trio.Nursery) -> None:
        self.soak = soak
        self.nursery = nursery
        self.record = Record(soak=soak)
        self.node = soak.nodes[0]
        self._callers = 0

    def add_callers(
        self, count: int, per_s: float, works_ms: tuple[float, float], *, kept: bool
    ) -> None:
        for _ in range(count):
            self._start(self._caller(kept), per_s, works_ms)

    def add_callers_of_domains(self) -> None:
        """Add callers of all failure domains that the balancer sends to nodes."""
        balancer = Balancer(nodes=self.soak.nodes, rng=random.Random(f"balancer {SEED}"))
        self.nursery.start_soon(balancer.run)
        for number in range(DOMAIN_CALLERS):
            caller = StopCaller(
                name=f"d{number}",
                choose=functools.partial(balancer.choose, DOMAINS[number % len(DOMAINS)]),
                record=self.record,
                kept=number % 3 > 0,
            )
            rng = random.Random(f"{SEED} {number}")
            self.nursery.start_soon(
                keep_asking, caller, DOMAIN_CALLER_PER_S, WORKS_MS, rng, SEARCHES
            )

    async def add_distant_callers(
        self, count: int, per_s: float, works_ms: tuple[float, float]
    ) -> None:
        """Add callers that keep their connections, each behind a slow line of its own."""
        for _ in range(count):
            line = DelayLine(target=(self.node.ip, CALLER_PORT), delay_s=SLOW_LINE_S)
            await line.listen(self.nursery)
            self._start(self._caller(True, line.address), per_s, works_ms)

    def _caller(self, kept: bool, address: tuple[str, int] | None = None) -> StopCaller:
        self._callers += 1
        return StopCaller(
            name=f"c{self._callers}",
            choose=lambda: self.node,
            record=self.record,
            kept=kept,
            address=address,
        )

    def _start(self, caller: StopCaller, per_s: float, works_ms: tuple[float, float]) -> None:
        rng = random.Random(f"{SEED} {self._callers}")
        self.nursery.start_soon(keep_asking, caller, per_s, works_ms, rng)

    async def start_again(self, share: float = 1.0) -> None:
        """Kill the node; return when its next process listens, while it still loads.

        With a `share` it gets that of the processor from then on.
        """
        starts = self.node.starts
        self.node.signal(signal.SIGKILL)
        while self.node.starts == starts:
            await trio.sleep(0.005)
        if share < 1.0:
            self.nursery.start_soon(throttle, self.node, share)
        while not await listens(self.node):
            await trio.sleep(0.01)

    async def stop(self, grace_s: float = GRACE_S, **changes: Any) -> None:
        """Stop the node, and wait until its callers have seen its end."""
        await stop(self.node, self.record, grace_s, **changes)
        await trio.sleep(NOTICED_S)


class StopsTest(unittest.TestCase):
    def run_world(self, body: Callable[[World], Awaitable[None]], nodes: int = NODES) -> None:
        async def main(folder: Path) -> None:
            options = Options(SEED, 0.0, nodes=nodes, callers=0, folder=folder)
            async with trio.open_nursery() as nursery:
                soak = Soak(options=options, nursery=nursery)
                try:
                    await soak.start()
                    await trio.sleep(LOADED_S)
                    await body(World(soak=soak, nursery=nursery))
                    broken = [line for node in soak.nodes for line in node.faults_logged()]
                    self.assertEqual(soak.ledger.broken + broken, [])
                finally:
                    for node in soak.nodes:
                        node.end()
                    nursery.cancel_scope.cancel()

        with tempfile.TemporaryDirectory() as folder:
            trio.run(main, Path(folder))

    def check(self, world: World) -> None:
        record = world.record
        found = {
            "killed": len(record.killed()),
            "ended by a signal": len(record.ended_by_signal()),
            "cut at leaves": len(record.cut_at_leaves()),
            "read and dropped": len(record.dropped_lines()),
        }
        self.assertEqual(found, dict.fromkeys(found, 0), record.stops)

    def test_requests_at_leaves_are_cut_by_the_kill_as_callers_keep_coming(self) -> None:
        async def body(world: World) -> None:
            world.add_callers(CALLERS, CALLER_PER_S, WORKS_MS, kept=False)
            await trio.sleep(STEADY_S)
            await world.stop()
            self.check(world)

        self.run_world(body)

    def test_requests_at_leaves_are_cut_as_the_nodes_of_a_failure_domain_are_stopped_in_turn(
        self,
    ) -> None:
        """Guards against kills where the balancer has no other node of the callers' failure domain."""

        async def body(world: World) -> None:
            world.add_callers_of_domains()
            await trio.sleep(STEADY_S)
            async with trio.open_nursery() as stops:
                for node in sorted(world.soak.nodes, key=lambda node: node.domain):
                    stops.start_soon(stop, node, world.record, GRACE_S)
                    await trio.sleep(STOPS_APART_S)
            await trio.sleep(NOTICED_S)
            self.check(world)

        self.run_world(body, nodes=MANY_NODES)

    def test_requests_at_leaves_are_cut_as_the_stop_was_asked_while_the_process_loaded(
        self,
    ) -> None:
        async def body(world: World) -> None:
            world.add_callers(CALLERS // 2, CALLER_PER_S, WORKS_MS, kept=True)
            world.add_callers(CALLERS // 2, CALLER_PER_S, WORKS_MS, kept=False)
            await trio.sleep(STEADY_S)
            await world.start_again(BUSY_SHARE)
            await world.stop()
            self.check(world)

        self.run_world(body)

    def test_requests_at_leaves_are_cut_as_the_stop_was_asked_while_the_process_was_paused(
        self,
    ) -> None:
        async def body(world: World) -> None:
            world.add_callers(CALLERS, CALLER_PER_S, WORKS_MS, kept=False)
            await trio.sleep(STEADY_S)
            async with trio.open_nursery() as nursery:
                world.node.signal(signal.SIGSTOP)
                nursery.start_soon(world.stop)
                await trio.sleep(PAUSED_S)
                world.node.signal(signal.SIGCONT)
            self.check(world)

        self.run_world(body)

    def test_requests_at_leaves_are_cut_as_the_stop_was_asked_while_the_loading_process_was_paused(
        self,
    ) -> None:
        """Guards against soak seed 416."""

        async def body(world: World) -> None:
            world.add_callers(CALLERS, CALLER_PER_S, WORKS_MS, kept=False)
            await trio.sleep(STEADY_S)
            await world.start_again()
            async with trio.open_nursery() as nursery:
                world.node.signal(signal.SIGSTOP)
                nursery.start_soon(world.stop)
                await trio.sleep(PAUSED_S)
                world.node.signal(signal.SIGCONT)
            self.check(world)

        self.run_world(body)

    def test_requests_on_slow_lines_are_read_and_dropped_as_their_connections_close(self) -> None:
        async def body(world: World) -> None:
            await world.add_distant_callers(30, 4.0, (2.0, 20.0))
            await trio.sleep(STEADY_S)
            await world.stop()
            self.check(world)

        self.run_world(body)

    def test_a_second_signal_in_the_last_moments_ends_the_process(self) -> None:
        async def body(world: World) -> None:
            world.add_callers(4, 3.0, (20.0, 50.0), kept=True)
            await trio.sleep(STEADY_S)
            await world.stop(signals=1_000_000, apart_s=0.001)
            self.check(world)

        self.run_world(body)

    def test_requests_at_leaves_are_cut_as_the_settings_have_shortened_the_grace_period(
        self,
    ) -> None:
        async def body(world: World) -> None:
            shorter_s = 0.6 * GRACE_S
            world.add_callers(CALLERS, CALLER_PER_S, WORKS_MS, kept=False)
            world.node.write_settings(grace_s=shorter_s)
            world.node.signal(signal.SIGHUP)
            await trio.sleep(STEADY_S)
            await world.stop(shorter_s)
            self.check(world)

        self.run_world(body)


if __name__ == "__main__":
    unittest.main()
