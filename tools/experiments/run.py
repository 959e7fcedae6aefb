"""One load on a running cluster, with what the leaves themselves counted meanwhile."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from cactussaddle_cli.load.mix import MixEntry
from cactussaddle_cli.load.runner import LoadSettings
from cactussaddle_cli.load.runner import run_load

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_cli.load.model import LoadResults
    from tests.harness.cluster import Cluster


class Mix(NamedTuple):
    """The load of a deployment, requests a second for each policy alike."""

    entries: tuple[MixEntry, ...]
    rate: float


BORDADO = Mix(
    (
        MixEntry("taller-search", 4.0, 0, True),
        MixEntry("hilo-stock", 2.0, 0, True),
        MixEntry("pedidos", 2.0, 1, False),
        MixEntry("envios", 1.0, 1, False),
    ),
    40.0,
)
BENCH = Mix(
    (
        MixEntry("bench-finder", 4.0, 0, True),
        MixEntry("council-desk", 2.0, 0, True),
        MixEntry("plaque-orders", 2.0, 1, False),
        MixEntry("renewals", 1.0, 2, False),
    ),
    40.0,
)
MIXES = {"bordado": BORDADO, "bench": BENCH}


class Phase(NamedTuple):
    """What one phase saw; `extra` is leaf calls beyond one a service of each query, as a share."""

    load: LoadResults
    leaf_calls: int
    needed_calls: int

    @property
    def extra(self) -> float:
        """Return the share of extra leaf calls."""
        return self.leaf_calls / max(1, self.needed_calls) - 1.0


def run_phase(
    cluster: Cluster,
    mix: Mix,
    seconds: float,
    seed: int,
    meanwhile: Callable[[], None] | None = None,
) -> Phase:
    """Load the cluster; `meanwhile` runs in a thread once a third of the time has passed."""
    settings = LoadSettings(
        targets=tuple(cluster.node_url(name) for name in cluster.nodes),
        mix=mix.entries,
        rate=mix.rate,
        seconds=seconds,
        seed=seed,
    )

    async def both() -> LoadResults:
        async with trio.open_nursery() as nursery:
            if meanwhile is not None:
                nursery.start_soon(later, meanwhile, seconds / 3)
            return await run_load(settings, lambda line: None)
        raise AssertionError("unreachable")

    before = total_calls(cluster)
    load = trio.run(both)
    return Phase(load, total_calls(cluster) - before, needed_calls(cluster, load))


async def later(action: Callable[[], None], seconds: float) -> None:
    """Run an action in a thread after some seconds."""
    await trio.sleep(seconds)
    await trio.to_thread.run_sync(action)


def total_calls(cluster: Cluster) -> int:
    """Return the calls that all leaves have counted."""
    return sum(int(counts["calls"]) for counts in cluster.leaf_counts().values())


def needed_calls(cluster: Cluster, load: LoadResults) -> int:
    """Return one call a service for each request; each leaf holds all shards of its service."""
    services = {route["name"]: len(route["services"]) for route in cluster.deployment.doc["routes"]}
    return sum(services[name] * route["sent"] for name, route in load["summary"]["routes"].items())


class Limits(NamedTuple):
    """What leaves counted of their limits; `worst` is the highest peak over what a leaf bears."""

    worst_slots: float
    worst_connections: float
    over_limit: int
    over_cold: int
    over_connections: int
    falls: int


def limits(cluster: Cluster) -> Limits:
    """Return what the leaves themselves counted since the start of the cluster."""
    specs = {spec.name: spec for spec in cluster.deployment.leaves}
    counts = cluster.leaf_counts()
    return Limits(
        worst_slots=max(c["peak_in_flight"] / specs[n].slots for n, c in counts.items()),
        worst_connections=max(
            c["peak_connections"] / specs[n].connections for n, c in counts.items()
        ),
        over_limit=sum(c["over_limit"] for c in counts.values()),
        over_cold=sum(c["over_cold"] for c in counts.values()),
        over_connections=sum(c["over_connections"] for c in counts.values()),
        falls=sum(c["falls"] for c in counts.values()),
    )
