"""A roll-out of a bad version: a part of its requests fail, at their deadline."""

from __future__ import annotations

import asyncio
import random
import sys

from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "11"))

from world3.caller import Caller
from world3.leaf import LeafSettings
from world3.node import BOUNDS
from world3.node import ZONES
from world3.world import LIMITS
from world3.world import Record
from world3.world import World
from world3.world import run_case
from world3.world import with_trouble

SERVICE, HOST, TARGET = "renewals", "hufi27.example", "/goka902/2f"
NODES_PER_ZONE, LEAVES_PER_ZONE, CALLERS_PER_NODE = 2, 3, 4
# The work, the aim and the deadline of `renewal-check`.
WORK_S, AIM_MS, DEADLINE_S = 0.22, 1000, 6.0
PAUSE_S = 0.4
# The share of the bad version's requests that fail.
FAILING = 0.4
CALM_S, ORDER_S, AFTER_S = 10.0, 36.0, 8.0
ROUTE: dict[str, Any] = {
    "name": "r-xmibw6k",
    "host": HOST,
    "prefix": "/goka902/",
    "type": "safe",
    "timeout_ms": 6000,
    "slo_ms": AIM_MS,
    "priority": 2,
    "service": SERVICE,
    "max_attempts": 2,
    "allowed_regions": [],
}
SPEC = {"name": SERVICE, "health_path": "/healthz", "max_conns": 44, "cold_s": 3.0}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [SPEC], "limits": LIMITS}


async def add_leaves(world: World, version: str, hangs: float) -> None:
    """Start the leaves of a version."""
    for zone in ZONES:
        for _ in range(LEAVES_PER_ZONE):
            settings = LeafSettings(SERVICE, zone, version, work_s=WORK_S)
            leaf = await world.add_leaf(settings)
            leaf.hangs = hangs


async def stop_old_when_complete(world: World) -> float:
    """Stop the old leaves at once when the status says `complete`; return when that was."""
    while (world.store.read(f"status/rollout/{SERVICE}") or {}).get("state") != "complete":
        await asyncio.sleep(0.02)
    for leaf in world.leaves:
        if leaf.settings.version == "v1":
            leaf.stop()
    return world.now()


async def case(world: World, record: Record) -> bool:
    """Return whether the bad version got no more requests than the rule allows."""
    world.store.put("op/config", CONFIG)
    await add_leaves(world, "v1", 0.0)
    await world.start_nodes(NODES_PER_ZONE)
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
    await asyncio.sleep(CALM_S)
    await add_leaves(world, "v2", FAILING if with_trouble() else 0.0)
    order = {"service": SERVICE, "target_version": "v2", "duration_s": ORDER_S}
    world.store.put(f"op/rollout/{SERVICE}", order)
    ordered_at = world.now()
    completed = world.spawn(stop_old_when_complete(world))
    await asyncio.sleep(ORDER_S)
    status = world.store.read(f"status/rollout/{SERVICE}")
    await asyncio.sleep(AFTER_S)
    return judge(world, record, callers, ordered_at, completed, status)


def judge(
    world: World,
    record: Record,
    callers: list[Caller],
    ordered_at: float,
    completed: asyncio.Task[Any],
    status: Any,
) -> bool:
    """Write the record; return whether the rule was kept."""
    arrivals = sorted(arrival for leaf in world.leaves for arrival in leaf.arrivals)
    for at, request, _, version, leaf in arrivals:
        record.add(f"{at - ordered_at:8.3f} s request {request} reaches {leaf} ({version})")
    seen = sorted((one for caller in callers for one in caller.seen), key=lambda one: one.sent_at)
    for one in seen:
        took_s = one.answered_at - one.sent_at
        sent_s = one.sent_at - ordered_at
        record.add(
            f"{sent_s:8.3f} s request {one.request} sent to {one.node}: {one.status} in {took_s:.3f} s"
        )
    during = [one for one in arrivals if ordered_at <= one.at <= ordered_at + ORDER_S]
    exposed = sum(1 for one in during if one.version == "v2")
    allowed = BOUNDS["expose_share"] * len(during) + BOUNDS["expose_slack"]
    record.note(f"status at the order's deadline: {status}")
    if completed.done():
        at = completed.result()
        after = [one for one in seen if one.sent_at >= at]
        failed = sum(1 for one in after if one.status != 200)
        record.note(
            f"complete {at - ordered_at:.1f} s after the order; then {failed} of {len(after)}"
            " requests were not served"
        )
    before = [one for one in seen if one.sent_at < ordered_at]
    record.note(f"before the order {len(before)} requests, {_failed(before)} not served")
    record.note(f"{exposed} of {len(during)} requests reached v2 until the deadline")
    if not with_trouble():
        return _failed(seen) == 0
    record.note(f"a bad version may get {allowed:.0f}")
    return exposed <= allowed


def _failed(seen: list[Any]) -> int:
    return sum(1 for one in seen if one.status != 200)


if __name__ == "__main__":
    run_case("roll-out of a version that fails at the deadline", case, seed=11)
