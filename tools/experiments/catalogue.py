"""The experiments: each returns its figures by name for one run of one policy and seed."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from tools.experiments.domains import domain_moves
from tools.experiments.run import limits
from tools.experiments.run import run_phase

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_cli.load.model import LoadResults
    from tests.harness.cluster import Cluster
    from tools.experiments.run import Mix

    Figures = dict[str, float]

STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 20.0
WARM_UP_S = 4.0
WARM_UP_SEED = 1000


class Experiment(NamedTuple):
    """An experiment: what it asks, which of its figures are shown, and how it runs."""

    question: str
    columns: tuple[str, ...]
    run: Callable[[Cluster, Mix, float, int], Figures]


def straggler(cluster: Cluster, mix: Mix, seconds: float, seed: int) -> Figures:
    """Slow one leaf call in a hundred; compare with the straggler-free phase of the same run."""
    run_phase(cluster, mix, WARM_UP_S, WARM_UP_SEED + seed)
    free = run_phase(cluster, mix, seconds, seed)
    cluster.leaves("*", straggler={"p": STRAGGLER_SHARE, "factor": STRAGGLER_FACTOR})
    slow = run_phase(cluster, mix, seconds, seed)
    free_ms, slow_ms = answer_ms(free.load), answer_ms(slow.load)
    return {
        "p50 free ms": free_ms["p50"],
        "p99 free ms": free_ms["p99"],
        "p50 ms": slow_ms["p50"],
        "p99 ms": slow_ms["p99"],
        "p99.9 ms": slow_ms["p99.9"],
        "p99 ratio": slow_ms["p99"] / free_ms["p99"],
        "extra calls free %": free.extra * 100,
        "extra calls %": slow.extra * 100,
        "complete %": share(slow.load, "COMPLETE") * 100,
        **limit_figures(cluster),
    }


def replica_killed(cluster: Cluster, mix: Mix, seconds: float, seed: int) -> Figures:
    """Kill one replica of each service while the load runs."""
    run_phase(cluster, mix, WARM_UP_S, WARM_UP_SEED + seed)
    victims = one_leaf_a_service(cluster, seed)

    def kill() -> None:
        for leaf in victims:
            cluster.leaves(leaf, down=True)

    phase = run_phase(cluster, mix, seconds, seed, kill)
    summary = phase.load["summary"]
    return {
        "p50 ms": answer_ms(phase.load)["p50"],
        "p99 ms": answer_ms(phase.load)["p99"],
        "p99.9 ms": answer_ms(phase.load)["p99.9"],
        "complete % of requests": share(phase.load, "COMPLETE") * 100,
        **route_figures(phase.load, mix),
        "coverage 1 % of answers": summary["coverage_at_least"]["1.0"] * 100,
        "extra calls %": phase.extra * 100,
        **limit_figures(cluster),
    }


def domain_moves_figures(cluster: Cluster, mix: Mix, seconds: float, seed: int) -> Figures:
    """Take a failure domain out and bring it back while the load runs."""
    return {**domain_moves(cluster, mix, seconds, seed), **limit_figures(cluster)}


def steady(cluster: Cluster, mix: Mix, seconds: float, seed: int) -> Figures:
    """Load a healthy cluster; the leaves count what they had at once."""
    run_phase(cluster, mix, WARM_UP_S, WARM_UP_SEED + seed)
    phase = run_phase(cluster, mix, seconds, seed)
    return {
        "p50 ms": answer_ms(phase.load)["p50"],
        "p99 ms": answer_ms(phase.load)["p99"],
        "p99.9 ms": answer_ms(phase.load)["p99.9"],
        "complete %": share(phase.load, "COMPLETE") * 100,
        "extra calls %": phase.extra * 100,
        **limit_figures(cluster),
    }


def route_figures(load: LoadResults, mix: Mix) -> Figures:
    """Return the share of complete queries, and how many orders ended in each other way.

    A query is on an idempotent route, an order on another; an order's call that was on a leaf which
    crashed ends as `OUTCOME_UNKNOWN`, since it is never sent twice.
    """
    queries: Counter[str] = Counter()
    orders: Counter[str] = Counter()
    for entry in mix.entries:
        route = load["summary"]["routes"].get(entry.route)
        if route is not None:
            (queries if entry.idempotent else orders).update(route["codes"])
    others = {f"orders {name}": float(n) for name, n in orders.items() if name != "COMPLETE"}
    return {
        "queries": float(queries.total()),
        "complete % of queries": queries["COMPLETE"] / max(1, queries.total()) * 100,
        "orders": float(orders.total()),
        "orders not done": float(orders.total() - orders["COMPLETE"]),
        "orders of unknown outcome": float(orders["OUTCOME_UNKNOWN"]),
        **others,
        **{f"queries {n}": float(c) for n, c in queries.items() if n != "COMPLETE"},
    }


def limit_figures(cluster: Cluster) -> Figures:
    """Return the leaves' own counts of their limits."""
    found = limits(cluster)
    return {
        "peak slots %": found.worst_slots * 100,
        "peak connections %": found.worst_connections * 100,
        "over slots": found.over_limit,
        "over cold": found.over_cold,
        "over connections": found.over_connections,
    }


def one_leaf_a_service(cluster: Cluster, seed: int) -> list[str]:
    """Return one leaf of each service, another with another seed."""
    leaves: dict[str, list[str]] = {}
    for leaf in cluster.deployment.doc["leaves"]:
        leaves.setdefault(leaf["service"], []).append(leaf["name"])
    return [names[(seed + n) % len(names)] for n, names in enumerate(leaves.values())]


def answer_ms(load: LoadResults) -> dict[str, float]:
    """Return the percentiles of the answers, 0 without any."""
    return {"p50": 0.0, "p99": 0.0, "p99.9": 0.0} | load["summary"]["latency"]["ms"]


def share(load: LoadResults, code: str) -> float:
    """Return the share of requests that ended with a result code."""
    return load["summary"]["codes"].get(code, 0) / max(1, load["summary"]["sent"])


LIMIT_COLUMNS = (
    "peak slots %",
    "over slots",
    "over cold",
    "peak connections %",
    "over connections",
    "load average",
)
EXPERIMENTS = {
    "straggler": Experiment(
        "1 leaf call in 100 twenty times slow",
        ("p99 free ms", "p50 ms", "p99 ms", "p99.9 ms", "p99 ratio", "extra calls %", "complete %"),
        straggler,
    ),
    "replica-killed": Experiment(
        "one replica of each service killed under load",
        (
            "p50 ms",
            "p99 ms",
            "queries",
            "complete % of queries",
            "orders",
            "orders of unknown outcome",
            "orders not done",
            "extra calls %",
        ),
        replica_killed,
    ),
    "domain-moves": Experiment(
        "a failure domain taken out and brought back with cold leaves under load",
        (
            "requests",
            "failed",
            "coverage below 1",
            "new work after 3 s",
            "calls after its return",
            "p50 ms",
            "p99 ms",
            "extra calls %",
        ),
        domain_moves_figures,
    ),
    "steady": Experiment(
        "most in flight and most connections of a leaf against what it bears",
        ("p50 ms", "p99 ms", "p99.9 ms", "complete %", "extra calls %"),
        steady,
    ),
}
