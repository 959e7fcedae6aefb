"""Costs of the stored documents: size, decoding, planning, deltas, and pair heartbeats."""

from __future__ import annotations

import time
import zlib

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from cactussaddle_core.config.delta import ConfigDelta
from cactussaddle_core.config.delta import diff_config
from cactussaddle_core.config.delta import patch_config
from cactussaddle_core.config.model import ConfigDoc
from cactussaddle_core.config.model import Move
from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.config.model import build_config
from cactussaddle_core.config.model import decode_doc
from cactussaddle_core.config.model import encode_doc
from cactussaddle_core.slots import SlotBook
from cactussaddle_core.slots.messages import PairPing
from cactussaddle_core.slots.model import Placement
from cactussaddle_core.slots.model import PlacementDelta
from cactussaddle_core.slots.model import diff_placement
from cactussaddle_core.slots.model import patch_placement
from cactussaddle_core.slots.placement import plan_placement
from tools.capacity import target
from tools.capacity.fleet import make_config
from tools.capacity.fleet import make_members
from tools.capacity.fleet import make_placement
from tools.capacity.fleet import make_sites
from tools.capacity.fleet import node_name

if TYPE_CHECKING:
    from collections.abc import Callable

REPEATS = 5
HEARTBEATS_PER_S = 4.0
HEARTBEAT_S = 0.25
MOVE: Move = {
    "id": "move-0001",
    "kind": MoveKind.VERSION,
    "target": "taller-search-000",
    "start": 1.8e9,
    "finish": 1.8e9 + 3600.0,
    "version": "v2",
}


class ConfigCost(NamedTuple):
    """A configuration document; the time in microseconds of CPU."""

    stored_bytes: float
    compressed_bytes: float
    apply_us: float
    delta_bytes: float
    patch_us: float


class PlacementCost(NamedTuple):
    """A placement of a fleet and one restart of a host; times in microseconds of CPU."""

    stored_bytes: float
    compressed_bytes: float
    delta_bytes: float
    plan_us: float
    apply_us: float
    patch_us: float


class Pairs(NamedTuple):
    """Pair heartbeats of one node with its share of the leaves."""

    messages_per_s: float
    bytes_per_s: float
    cpu_us_per_s: float


def nodes_for(leaves: int) -> int:
    """Return as many nodes as the target has for this many leaves."""
    return max(3, round(leaves * target.NODES / target.LEAVES))


def config_cost(leaves: int) -> ConfigCost:
    """Measure a configuration document, and its change by one move."""
    doc = make_config(leaves)
    data = encode_doc(doc)
    old = build_config(doc)
    changed: ConfigDoc = {**doc, "revision": 2, "change_id": "change-0002", "moves": [MOVE]}
    delta = msgspec.msgpack.encode(diff_config(old, build_config(changed)))
    return ConfigCost(
        stored_bytes=len(data),
        compressed_bytes=len(zlib.compress(data, 1)),
        apply_us=timed_us(lambda: build_config(decode_doc(data))),
        delta_bytes=len(delta),
        patch_us=timed_us(
            lambda: patch_config(old, msgspec.msgpack.decode(delta, type=ConfigDelta))
        ),
    )


def placement_cost(leaves: int, lost: int = 1) -> PlacementCost:
    """Measure the placement after some hosts, of one failure domain, have gone."""
    members = make_members(nodes_for(leaves))
    first = make_placement(members, leaves)
    victims = {node_name(1 + target.DOMAINS * n) for n in range(lost)}
    fewer = {name: member for name, member in members.items() if name not in victims}
    sites = make_sites(leaves)
    gone = {(victim, members[victim]["incarnation"]) for victim in victims}
    after = plan_placement(first, sites, fewer, {}, gone, leaving=frozenset())
    data = msgspec.json.encode(after)
    delta = msgspec.msgpack.encode(diff_placement(first, after))
    slots = SlotBook(node=node_name(0), incarnation=members[node_name(0)]["incarnation"])
    limits = dict.fromkeys(sites, 6)

    def apply() -> None:
        slots.apply_placement(msgspec.json.decode(data, type=Placement), limits, 0.0, limits)

    return PlacementCost(
        stored_bytes=len(data),
        compressed_bytes=len(zlib.compress(data, 1)),
        delta_bytes=len(delta),
        plan_us=timed_us(
            lambda: plan_placement(first, sites, fewer, {}, gone, leaving=frozenset())
        ),
        apply_us=timed_us(apply),
        patch_us=timed_us(
            lambda: patch_placement(first, msgspec.msgpack.decode(delta, type=PlacementDelta))
        ),
    )


def pairs(leaves: int) -> Pairs:
    """Measure the heartbeats of one node: those it sends as owner and answers as deputy."""
    members = make_members(nodes_for(leaves))
    placement = make_placement(members, leaves)
    limits = dict.fromkeys(make_sites(leaves), 6)
    books = {
        name: SlotBook(node=name, incarnation=member["incarnation"])
        for name, member in members.items()
    }
    for book in books.values():
        book.apply_placement(placement, limits, 0.0, limits)
        book.refreshed(placement["epoch"], 0.0, 0.0)
    messages = size = 0
    began = time.process_time()
    encoding_s = 0.0
    for number in range(REPEATS):
        now = number * HEARTBEAT_S
        for name, book in books.items():
            for send in book.pair_pings(now):
                assert isinstance(send.message, PairPing)
                pong = books[send.to].receive_ping(name, send.message, now)
                book.receive_pong(send.to, pong, now)
                encoding = time.process_time()
                messages += 2
                size += len(msgspec.msgpack.encode(send.message))
                size += len(msgspec.msgpack.encode(pong))
                encoding_s += time.process_time() - encoding
    used = time.process_time() - began - encoding_s
    per = REPEATS * HEARTBEAT_S * len(books)
    return Pairs(messages / per, size / per, used * 1e6 / per)


def timed_us(body: Callable[[], object]) -> float:
    """Return the CPU time of one run of `body`, over several, in microseconds."""
    began = time.process_time()
    for _ in range(REPEATS):
        body()
    return (time.process_time() - began) * 1e6 / REPEATS
