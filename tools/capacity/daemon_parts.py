"""CPU and memory of whole node processes in a cluster, as a check on the parts."""

from __future__ import annotations

import os
import time

from typing import NamedTuple

from cactussaddle_cli.load.mix import MixEntry
from tests.harness.cluster import Cluster
from tools.experiments.run import Mix
from tools.experiments.run import run_phase

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ROUTES = {"envios": 1, "taller-search": 10, "hilo-stock": 15}
QUERY_RATE = 30.0
QUERY_S = 5.0
SETTLE_S = 4.0
IDLE_S = 4.0
MEGABYTE = 1e6


class IdleNode(NamedTuple):
    """What one idle node process takes: microseconds of CPU a second, bytes resident."""

    cpu_us_per_s: float
    memory_bytes: float


def cpu_s(cluster: Cluster) -> float:
    """Return the CPU seconds of all node processes so far."""
    total = 0
    for node in cluster.nodes.values():
        assert node.child is not None
        with open(f"/proc/{node.child.pid}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / TICKS_PER_S


def resident(cluster: Cluster) -> float:
    """Return the mean resident memory of the node processes."""
    sizes = []
    for node in cluster.nodes.values():
        assert node.child is not None
        with open(f"/proc/{node.child.pid}/statm", encoding="ascii") as file:
            sizes.append(int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE"))
    return sum(sizes) / len(sizes)


def idle_node(nodes: int) -> IdleNode:
    """Measure the idle nodes of a tiny deployment, without the balancer's health checks."""
    with Cluster(deployment="tiny", nodes=nodes) as cluster:
        cluster.wait_ready(60.0)
        time.sleep(SETTLE_S)
        cluster.standins["balancer"].freeze()
        began, before = time.monotonic(), cpu_s(cluster)
        time.sleep(IDLE_S)
        took, used = time.monotonic() - began, cpu_s(cluster) - before
        return IdleNode(used * 1e6 / took / nodes, resident(cluster))


def query_us(nodes: int = 3) -> dict[int, float]:
    """Return all nodes' CPU microseconds of one query by its fan-out, idle work taken off."""
    found: dict[int, float] = {}
    with Cluster(deployment="bordado", nodes=nodes, leaf_processes=2) as cluster:
        cluster.wait_ready()
        time.sleep(SETTLE_S)
        began, before = time.monotonic(), cpu_s(cluster)
        time.sleep(IDLE_S)
        idle = (cpu_s(cluster) - before) / (time.monotonic() - began)
        for route, fan_out in ROUTES.items():
            mix = Mix((MixEntry(route, 1.0, 0, route != "envios"),), QUERY_RATE)
            run_phase(cluster, mix, 1.0, 7)
            began, before = time.monotonic(), cpu_s(cluster)
            phase = run_phase(cluster, mix, QUERY_S, 1)
            used = cpu_s(cluster) - before - idle * (time.monotonic() - began)
            found[fan_out] = used * 1e6 / phase.load["summary"]["sent"]
    return found
