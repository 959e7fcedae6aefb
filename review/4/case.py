"""The store is down and its leases end; back again, nodes overrun leafs that came back cold."""

from __future__ import annotations

import asyncio
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.world import BOUNDS  # noqa: E402
from common.world import HOST  # noqa: E402
from common.world import ZONES  # noqa: E402
from common.world import World  # noqa: E402
from common.world import run_case  # noqa: E402

if TYPE_CHECKING:
    from common.leaf import Leaf

SHARDS = ["shard-0", "shard-1", "shard-2"]
PER_S = 80.0
DOWN_S = 3.3
COLD_S = 3.0
COLD_PER_S = 10.0


def routes() -> list[dict[str, Any]]:
    """Return the only route: a query over all shards."""
    return [
        {
            "name": "search",
            "host": HOST,
            "prefix": "/search/",
            "type": "safe",
            "timeout_ms": 1000,
            "slo_ms": 300,
            "priority": 1,
            "max_attempts": 2,
            "gather": SHARDS,
            "top_k": 20,
            "least": 0.6,
        }
    ]


async def case(world: World, trouble: bool) -> list[str]:
    """Take the store and the leafs of one shard down, and count what reaches the cold leafs."""
    for shard in SHARDS:
        for zone in ZONES:
            await world.add_leaf(shard, zone)
    services = [
        {
            "name": name,
            "health_path": "/healthz",
            "max_conns": 72,
            "cold_s": COLD_S,
            "cold_per_s": COLD_PER_S,
        }
        for name in SHARDS
    ]
    world.write_config(routes(), services)
    await world.start_nodes()
    await asyncio.sleep(10.0)
    world.spawn(world.load("/search/x", PER_S, 22.0, 1.0))
    await asyncio.sleep(4.0)

    crashed = [leaf for leaf in world.leafs if leaf.service == SHARDS[0]]
    for leaf in crashed:
        leaf.server.close()
        world.note(f"{leaf.name} crashes")
    if trouble:
        world.store.is_down = True
        world.store.expire_all_leases()
        world.note("store: down; its leases end")
    else:
        for leaf in crashed:
            world.store.delete(f"servers/{leaf.name}")
    await asyncio.sleep(DOWN_S)
    world.store.is_down = False
    world.note("store: back")
    await asyncio.sleep(0.5)
    cold: dict[str, float] = {}
    for leaf in crashed:
        cold[leaf.name] = await come_back(leaf)
        world.note(f"{leaf.name} is back and cold")
    await asyncio.sleep(COLD_S + 12.0)
    return [text for leaf in crashed for text in overrun(world, leaf, cold[leaf.name])]


async def come_back(leaf: Leaf) -> float:
    """Start a leaf again, cold; return when."""
    leaf.born_ms = int(time.time() * 1000.0)
    leaf.cold_until = time.monotonic() + COLD_S
    await leaf.start()
    return time.monotonic()


def overrun(world: World, leaf: Leaf, since: float) -> list[str]:
    """Return the worst second of a cold leaf, if it got more than the rule allows."""
    allowed = COLD_PER_S * BOUNDS["cold_over"] + BOUNDS["cold_slack"]
    sent = {answer.request: answer.sent_at for answer in world.answers}
    calls = [
        arrival
        for arrival in world.arrivals
        if arrival.leaf == leaf.name and since <= arrival.at <= leaf.cold_until
    ]
    worst = 0
    for first in calls:
        count = sum(
            1
            for call in calls
            if first.at <= call.at < first.at + 1.0
            and sent.get(call.request, first.at) >= first.at - 0.02
        )
        worst = max(worst, count)
    text = (
        f"FAILBACK: cold {leaf.name} got {worst} requests in one second; {allowed:.0f} are allowed"
    )
    world.note(text)
    return [text] if worst > allowed else []


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
