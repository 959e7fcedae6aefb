"""All processes are killed while leafs reject requests: the retry budget is spent twice."""

from __future__ import annotations

import asyncio
import signal
import sys

from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.world import BOUNDS  # noqa: E402
from common.world import HOST  # noqa: E402
from common.world import ZONES  # noqa: E402
from common.world import World  # noqa: E402
from common.world import run_case  # noqa: E402

SHARDS = [f"shard-{number}" for number in range(6)]
PER_S = 22.0
# `srv_grey` "shed across": share and x at their largest dose in the site files, for 9 s.
SHEDDING_LEAFS = 0.8
SHED_SHARE = 0.6
SHED_S = 9.0
KILL_AFTER_S = 3.5
RESTART_DELAY_S = 1.0


def routes() -> list[dict[str, Any]]:
    """Return the only route: a query over all shards."""
    return [
        {
            "name": "search",
            "host": HOST,
            "prefix": "/search/",
            "type": "safe",
            "timeout_ms": 3000,
            "slo_ms": 300,
            "priority": 1,
            "max_attempts": 3,
            "gather": SHARDS,
            "top_k": 20,
            "least": 0.5,
        }
    ]


async def case(world: World, trouble: bool) -> list[str]:
    """Let leafs reject requests, kill all nodes meanwhile, and count the repeats."""
    for shard in SHARDS:
        for zone in ZONES:
            await world.add_leaf(shard, zone)
    services = [{"name": name, "health_path": "/healthz", "max_conns": 36} for name in SHARDS]
    world.write_config(routes(), services)
    await world.start_nodes()
    await asyncio.sleep(8.0)

    world.spawn(world.load("/search/x", PER_S, 24.0))
    await asyncio.sleep(8.0)
    shedding = world.rng.sample(world.leafs, round(SHEDDING_LEAFS * len(world.leafs)))
    for leaf in shedding:
        leaf.shed_share = SHED_SHARE
    world.note(f"{len(shedding)} of {len(world.leafs)} leafs reject {SHED_SHARE} of the requests")
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        for node in world.nodes:
            node.send_signal(signal.SIGKILL)
        world.note("all nodes are killed")
        for node in world.nodes:
            node.end()
        await asyncio.sleep(RESTART_DELAY_S)
        for node in world.nodes:
            node.start()
        world.note("all nodes are started again")
    await asyncio.sleep(SHED_S - KILL_AFTER_S - (RESTART_DELAY_S if trouble else 0.0))
    for leaf in shedding:
        leaf.shed_share = 0.0
    world.note("all leafs take requests again")
    await asyncio.sleep(6.0)
    return [breach for shard in SHARDS for breach in over_budget(world, shard)]


def over_budget(world: World, service: str) -> list[str]:
    """Return the worst window in which a service got more repeats than the rule allows."""
    window_s = float(BOUNDS["budget_window_s"])
    sent = [answer.sent_at for answer in world.answers]
    seen: set[str] = set()
    extras: list[float] = []
    for arrival in sorted(one for one in world.arrivals if one.service == service):
        if arrival.request in seen:
            extras.append(arrival.at)
        seen.add(arrival.request)
    worst: tuple[float, str] | None = None
    for start in extras:
        count = sum(1 for at in extras if start <= at < start + window_s)
        requests = max(
            sum(1 for at in sent if start - back <= at < start - back + window_s)
            for back in (0.0, window_s / 2.0, window_s)
        )
        allowed = BOUNDS["retry_budget_ratio"] * requests + BOUNDS["budget_slack"]
        text = (
            f"BUDGET: {service} got {count} arrivals beyond the first of each request in 10 s from"
            f" {start - world.began:.1f} s; {allowed:.1f} are allowed for {requests} requests"
        )
        world_over = count - allowed
        if worst is None or world_over > worst[0]:
            worst = (world_over, text)
    if worst is None:
        return []
    world.note(worst[1])
    return [worst[1]] if worst[0] > 0.0 else []


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
