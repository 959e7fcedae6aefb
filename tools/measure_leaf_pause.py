"""Measures what callers get while leaves turn requests away for a time, over real nodes and stand-ins.

Run it on the code as it is and on a clone without the pauses, with the same seeds:

    git apply tools/ablation/no-leaf-pause.patch
"""

from __future__ import annotations

import argparse
import tempfile

from pathlib import Path
from typing import TYPE_CHECKING

import trio

from cactussaddle_core.query.latency import LatencySketch
from tests.soak.callers import Caller
from tests.soak.configs import SHARD_SETS
from tests.soak.run import Options
from tests.soak.run import Soak

if TYPE_CHECKING:
    from tests.soak.leaf import LeafServer
    from tests.soak.ledger import Seen

NODES = 4
CALLERS = 24
PAUSE_BETWEEN_S = 0.1
LOADED_S = 3.0
STEADY_S = 2.0
# A whole shard pauses for so long; or each third of all leaves in turn.
SHARD_PAUSE_S = 4.0
TURNS = 3
TURN_S = 2.0


class Meter:
    """Counts the answers to searches, and the requests that pausing leaves turn away."""

    def __init__(self, *, soak: Soak) -> None:
        self._soak = soak
        self._check = soak.ledger.saw
        soak.ledger.saw = self._saw  # type: ignore[method-assign]
        self.start()

    def start(self) -> None:
        """Count from now on."""
        self.asked = self.served = self.whole = self.turned_away = 0
        self.times = LatencySketch()

    def _saw(self, seen: Seen) -> None:
        self._check(seen)
        self.asked += 1
        if seen.status == 200:
            self.served += 1
            self.whole += seen.headers.get("missing-parts", "0") == "0"
            self.times.add(seen.answered_at - seen.sent_at)

    async def pause(self, leaves: list[LeafServer], for_s: float) -> None:
        """Have leaves turn all requests away for a time, which they name."""
        before = sum(len(leaf.arrivals) for leaf in leaves)
        for leaf in leaves:
            leaf.pause_s = for_s
        await trio.sleep(for_s)
        self.turned_away += sum(len(leaf.arrivals) for leaf in leaves) - before
        for leaf in leaves:
            leaf.pause_s = 0.0

    def figures(self) -> str:
        """Return the figures as one line."""
        high_ms = 1000.0 * self.times.quantile(0.95, 0.0)
        share = self.served / max(1, self.asked)
        whole = self.whole / max(1, self.asked)
        return (
            f"asked {self.asked}, served {share:.3f}, from all shards {whole:.3f},"
            f" 95 of 100 within {high_ms:.0f} ms, turned away {self.turned_away}"
        )


async def keep_asking(caller: Caller) -> None:
    while True:
        await caller.ask("gather", "/g/x")
        await trio.sleep(PAUSE_BETWEEN_S)


async def measure(seed: int, folder: Path) -> None:
    """Play both patterns on one seed and print their figures."""
    options = Options(seed, 0.0, nodes=NODES, callers=CALLERS, folder=folder)
    async with trio.open_nursery() as nursery:
        soak = Soak(options=options, nursery=nursery)
        try:
            await soak.start()
            await trio.sleep(LOADED_S)
            for number in range(CALLERS):
                nearest = [soak.nodes[number % NODES]]
                caller = Caller(number=number, nodes=nearest, ledger=soak.ledger, seed=seed)
                nursery.start_soon(keep_asking, caller)
            await trio.sleep(STEADY_S)
            meter = Meter(soak=soak)
            leaves = [leaf for leaf in soak.leaves if leaf.service in SHARD_SETS[0]]
            shard = [leaf for leaf in leaves if leaf.service == SHARD_SETS[0][0]]
            await meter.pause(shard, SHARD_PAUSE_S)
            print(f"seed {seed}, all leaves of a shard: {meter.figures()}")
            await trio.sleep(STEADY_S)
            meter.start()
            for turn in range(TURNS):
                await meter.pause(leaves[turn::TURNS], TURN_S)
            print(f"seed {seed}, a third of all leaves in turns: {meter.figures()}")
        finally:
            for node in soak.nodes:
                node.end()
            nursery.cancel_scope.cancel()


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m tools.measure_leaf_pause", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    args = parser.parse_args()
    for seed in args.seeds:
        with tempfile.TemporaryDirectory() as folder:
            trio.run(measure, seed, Path(folder))


if __name__ == "__main__":
    main()
