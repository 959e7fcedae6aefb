"""A run in which callers send proper requests in a form that HTTP/1.1 allows, and the check of DENIED."""

from __future__ import annotations

import asyncio
import itertools

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from world3.http import GONE
from world3.http import read_response
from world3.leaf import LeafSettings
from world3.node import ZONES
from world3.world import LIMITS

if TYPE_CHECKING:
    from collections.abc import Callable

    from world3.node import Node
    from world3.world import Record
    from world3.world import World

SERVICE, HOST, TARGET = "renewals", "hufi27.example", "/goka902/2f"
# From then on, machines that were started are in touch.
CALM_S = 6.0
REQUESTS_PER_NODE = 20
ANSWER_S = 8.0
ALLOWED, ALLOWED_SHARE = 5, 1.0 / 500.0
NOT_DENIALS = (408, 421, 429)
NO_ANSWER = 0
ROUTE: dict[str, Any] = {
    "name": "r-xmibw6k",
    "host": HOST,
    "prefix": "/goka902/",
    "type": "safe",
    "timeout_ms": 6000,
    "slo_ms": 1000,
    "priority": 2,
    "service": SERVICE,
    "max_attempts": 2,
    "allowed_regions": [],
}
SPEC = {"name": SERVICE, "health_path": "/healthz", "max_conns": 44, "cold_s": 3.0}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [SPEC], "limits": LIMITS}


class Outcome(NamedTuple):
    """What came of a request; a failure of a leaf is `stamped`."""

    request: str
    node: str
    status: int
    stamped: bool
    text: str


async def run(world: World, record: Record, encode: Callable[[str], bytes]) -> bool:
    """Send requests as `encode` makes them, given their ids; return whether DENIED was kept."""
    world.store.put("op/config", CONFIG)
    for zone in ZONES:
        for _ in range(2):
            await world.add_leaf(LeafSettings(SERVICE, zone, work_s=0.05))
    await world.start_nodes(1)
    await asyncio.sleep(CALM_S)
    ids = (f"{number:016x}" for number in itertools.count(1))
    outcomes = [
        await _ask(node, next(ids), encode)
        for node in world.nodes
        for _ in range(REQUESTS_PER_NODE)
    ]
    record.add(repr(encode("ID")))
    for one in outcomes:
        record.add(f"request {one.request} at {one.node}: {one.status} {one.text}")
    for leaf in world.leaves:
        for run_ in leaf.runs:
            record.add(f"request {run_.request} runs at {run_.leaf}")
    denied = [
        one
        for one in outcomes
        if 300 <= one.status < 500 and one.status not in NOT_DENIALS and not one.stamped
    ]
    served = sum(1 for one in outcomes if one.status == 200)
    allowed = ALLOWED + ALLOWED_SHARE * len(outcomes)
    texts = sorted({f"{one.status} {one.text}" for one in outcomes if one.status != 200})
    record.note(f"{served} of {len(outcomes)} requests were served; otherwise {texts}")
    record.note(f"{len(denied)} were denied, {allowed:.1f} may be")
    return len(denied) <= allowed


async def _ask(node: Node, request: str, encode: Callable[[str], bytes]) -> Outcome:
    reader, writer = await asyncio.open_connection(node.host, node.port)
    writer.write(encode(request))
    try:
        async with asyncio.timeout(ANSWER_S):
            status, headers, body = await read_response(reader)
    except (TimeoutError, *GONE):
        return Outcome(request, node.name, NO_ANSWER, False, "no answer")
    finally:
        writer.close()
    text = body.decode("latin-1") if status != 200 else ""
    return Outcome(request, node.name, status, "server-stamp" in headers, text)
