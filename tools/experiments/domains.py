"""A failure domain taken out and brought back under load."""

from __future__ import annotations

import sys
import time

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.moves.domains import NO_NEW_WORK_S
from tools.experiments.run import run_phase

if TYPE_CHECKING:
    from cactussaddle_cli.load.model import Summary
    from tests.harness.cluster import Cluster
    from tools.experiments.run import Mix

ANSWERS = ("COMPLETE", "PARTIAL", "RECORDED")
WATCHED_S = 3.0
LEAST_S = 18.0
MOVE_S = 60.0
WARM_UP_S = 4.0
WARM_UP_SEED = 1000
MS_PER_S = 1000.0


def domain_moves(cluster: Cluster, mix: Mix, seconds: float, seed: int) -> dict[str, float]:
    """Take a domain out and bring it back with cold leaves while the load runs.

    The plan is written as an operator's is. The domain's leaves count the calls that come later
    than `NO_NEW_WORK_S` after its `start`, for `WATCHED_S`; then they restart, and come back.
    """
    run_phase(cluster, mix, WARM_UP_S, WARM_UP_SEED + seed)
    names = [domain["name"] for domain in cluster.deployment.doc["domains"]]
    trip = Trip(cluster=cluster, domain=names[seed % len(names)])
    phase = run_phase(cluster, mix, max(seconds, LEAST_S), seed, trip.run)
    summary = phase.load["summary"]
    ms = summary["latency"]["ms"]
    tell_failures(summary)
    return {
        "requests": float(summary["sent"]),
        "failed": float(failed(summary)),
        "coverage below 1": float(below_full(summary)),
        "new work after 3 s": float(trip.new_work),
        "calls in the domain while out": float(trip.while_out),
        "calls after its return": float(trip.calls() - trip.at_return),
        "p50 ms": ms.get("p50", 0.0),
        "p99 ms": ms.get("p99", 0.0),
        "extra calls %": phase.extra * 100,
    }


def failed(summary: Summary) -> int:
    """Return the requests that ended without an answer."""
    return summary["sent"] - sum(summary["codes"].get(code, 0) for code in ANSWERS)


def tell_failures(summary: Summary) -> None:
    """Print which results other than answers each route had."""
    for name, route in summary["routes"].items():
        codes = {code: count for code, count in route["codes"].items() if code not in ANSWERS}
        if codes:
            print(f"  {name}: {codes}", file=sys.stderr)


def below_full(summary: Summary) -> int:
    """Return the answers with a coverage below 1."""
    answers = summary["latency"]["count"]
    return answers - round(answers * summary["coverage_at_least"]["1.0"])


class Trip:
    """One domain's way out of service and back, and what its leaves counted meanwhile."""

    def __init__(self, *, cluster: Cluster, domain: str) -> None:
        self.cluster = cluster
        self.domain = domain
        leaves = cluster.deployment.doc["leaves"]
        self.leaves = [leaf["name"] for leaf in leaves if leaf["domain"] == domain]
        self.new_work = 0
        self.while_out = 0
        self.at_return = 0

    def calls(self) -> int:
        """Return the calls that the domain's leaves have counted."""
        counts = self.cluster.leaf_counts()
        return sum(int(counts[name]["calls"]) for name in self.leaves)

    def run(self) -> None:
        """Take the domain out, watch it, restart its leaves and bring it back."""
        before = self.calls()
        started = time.monotonic()
        self.move("domain-out")
        time.sleep(max(0.0, NO_NEW_WORK_S - (time.monotonic() - started)))
        quiet = self.calls()
        time.sleep(WATCHED_S)
        self.at_return = self.calls()
        self.new_work = self.at_return - quiet
        self.while_out = self.at_return - before
        for name in self.leaves:
            self.cluster.leaves(name, restart=True)
        self.move("domain-in")

    def move(self, kind: str) -> None:
        """Write a move that begins now into the plan."""
        now = time.time()
        move: Any = {
            "id": f"{kind}-1",
            "kind": kind,
            "target": self.domain,
            "start": now,
            "finish": now + MOVE_S,
        }
        self.cluster.change_config([move], set())
