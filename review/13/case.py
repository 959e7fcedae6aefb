"""A change of a split's weights, from 999 and 1 to 1 and 1."""

from __future__ import annotations

import asyncio
import random
import sys

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "11"))

from world3.caller import Caller
from world3.leaf import LeafSettings
from world3.node import BOUNDS
from world3.node import ZONES
from world3.world import LIMITS
from world3.world import run_case
from world3.world import with_trouble

if TYPE_CHECKING:
    from world3.world import Record
    from world3.world import World

OLD, NEW, HOST, TARGET = "renewals", "plaque-orders", "hufi27.example", "/goka902/2f"
CALLERS_PER_NODE, WORK_S, PAUSE_S, DEADLINE_S = 4, 0.05, 0.25, 6.0
BEFORE = (999, 1)
# Without the disruption the weights are as equal, but add up to what they did before.
EQUAL, EQUAL_OF_SAME_SUM = (1, 1), (500, 500)
SPLIT_S, JUDGED_S = 30.0, 25.0
WANTED_SHARE, ALLOWED_OFF, LEAST_REQUESTS = 0.5, 0.2, 200


def config(version: int, weights: tuple[int, int]) -> dict[str, Any]:
    """Return a configuration in which a route is split by these weights."""
    services = (OLD, NEW)
    parts = [
        {"service": service, "weight": weight}
        for service, weight in zip(services, weights, strict=True)
    ]
    route = {
        "name": "r-xmibw6k",
        "host": HOST,
        "prefix": "/goka902/",
        "type": "safe",
        "timeout_ms": 6000,
        "slo_ms": 1000,
        "priority": 2,
        "traffic_split": parts,
        "max_attempts": 2,
        "allowed_regions": [],
    }
    specs = [{"name": name, "health_path": "/healthz", "max_conns": 44} for name in services]
    return {"version": version, "routes": [route], "services": specs, "limits": LIMITS}


async def case(world: World, record: Record) -> bool:
    """Return whether each part gets its share."""
    world.store.put("op/config", config(7, BEFORE))
    for service in (OLD, NEW):
        for zone in ZONES:
            await world.add_leaf(LeafSettings(service, zone, work_s=WORK_S))
    await world.start_nodes(1)
    callers = [
        Caller(
            number=number,
            node=world.nodes[number % len(world.nodes)],
            host=HOST,
            deadline_s=DEADLINE_S,
            rng=random.Random(number),
        )
        for number in range(CALLERS_PER_NODE * len(world.nodes))
    ]
    for caller in callers:
        world.spawn(caller.run(TARGET, PAUSE_S))
    await asyncio.sleep(SPLIT_S)
    world.store.put("op/config", config(9, EQUAL if with_trouble() else EQUAL_OF_SAME_SUM))
    changed_at = world.now()
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000.0 + JUDGED_S)
    return judge(world, record, callers, changed_at)


def judge(world: World, record: Record, callers: list[Caller], changed_at: float) -> bool:
    """Write the record; return whether the share is as near to its weight's as the rule asks."""
    since = changed_at + BOUNDS["config_apply_ms"] / 1000.0
    sent = {one.request: one for caller in callers for one in caller.seen}
    runs = sorted(run for leaf in world.leaves for run in leaf.runs)
    for at, request, _, _, leaf in runs:
        status = sent[request].status if request in sent else "under way"
        record.add(f"{at - changed_at:8.3f} s request {request} runs at {leaf}: {status}")
    before = [run for run in runs if run.at < changed_at]
    judged = [run for run in runs if run.request in sent and sent[run.request].sent_at >= since]
    refused = sum(1 for one in sent.values() if one.status != 200)
    record.note(f"before the change {_count(before)} of {len(before)} runs were at {NEW}")
    record.note(f"from {since - changed_at:.0f} s after it {_count(judged)} of {len(judged)}")
    record.note(f"{refused} requests were not served in all")
    if len(judged) < LEAST_REQUESTS:
        raise OSError("too few requests to judge")
    return abs(_count(judged) / len(judged) - WANTED_SHARE) <= ALLOWED_OFF


def _count(runs: list[Any]) -> int:
    return sum(1 for run in runs if run.service == NEW)


if __name__ == "__main__":
    run_case("weights of a split on another scale", case, seed=13)
