"""Leaves that fail part of their requests with a plain 503, after they have run them."""

from __future__ import annotations

import random

from pathlib import Path
from typing import TYPE_CHECKING

from standins.wire import Message
from standins.wire import response
from standins.world import World
from standins.world import run

if TYPE_CHECKING:
    from standins.leaf import Leaf

FOLDER = Path(__file__).resolve().parent
REQUESTS = 40
# The share of `srv_grey` in the list of kinds.
FAILING = 0.4
PROMISES = (429, 503, 408, 421)


async def case(world: World) -> str:
    """Send orders that may run once, and compare what was promised with what ran."""
    route = {"name": "orders", "prefix": "/orders/", "service": "orders", "type": "unsafe"}
    world.configure(3, [route], ["orders"])
    rng = random.Random(8)

    async def fail_some(leaf: Leaf, message: Message) -> bytes | None:
        if rng.random() >= FAILING:
            return None
        name = message.headers["request-id"]
        body = b"the order was taken, the receipt can't be written"
        stamp = leaf.sign(name, body)
        world.record.note("answered", request=name, leaf=leaf.name, status=503, stamp=stamp)
        return response(503, body, ("Request-Id", name), ("Server-Stamp", stamp))

    for zone in ("north", "south"):
        leaf = await world.add_leaf(f"i-{zone}", "orders", zone)
        if world.trouble:
            leaf.behave = fail_some
    client = world.client(await world.add_node())
    broken = []
    for _ in range(REQUESTS):
        name, answer = await client.ask("POST", "/orders/new", b"one pair of pyjamas")
        ran = [leaf.name for leaf in world.leaves for _, other in leaf.ran if other == name]
        if answer is not None and answer.status in PROMISES and ran:
            broken.append(f"{name} got {answer.status} and ran at {', '.join(ran)}")
    return f"{len(broken)} of {REQUESTS}: {broken[0]}" if broken else ""


if __name__ == "__main__":
    run(case, FOLDER)
