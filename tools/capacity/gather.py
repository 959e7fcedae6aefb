"""Runs every measurement of the capacity page."""

from __future__ import annotations

import statistics
import sys
import time

from typing import NamedTuple

from tools.capacity import daemon_parts
from tools.capacity import document_parts as docs
from tools.capacity import front_parts
from tools.capacity import gossip_parts
from tools.capacity import link_parts
from tools.capacity import member_parts
from tools.capacity import query_parts
from tools.capacity import state_parts
from tools.capacity import target
from tools.capacity.daemon_parts import IdleNode  # noqa: TC001
from tools.capacity.member_parts import Burst  # noqa: TC001
from tools.capacity.slopes import Slope
from tools.capacity.slopes import Spec
from tools.capacity.slopes import measure
from tools.child import child_server
from tools.measure_leaf_call import measure as measure_clients

FAN_OUTS = (10, 25, 50, 100, 200, 390)
NODES = (3, 6, 12, 24, 48, 150, 600)
LEAVES = (10, 45, 270, 1000, 2700)
GOSSIP_NODES = (3, 12, 48, 150, 600)
OWNED = (2, 5, 9, 20, 45)
STREAMS = (5, 20, 40, 80)
BATCHES = (1, 8, 32, 128)
DAEMONS = (3, 6, 12, 24)
KILLED = (1, 20, 120, 300)
STEADY_S = 4.0
GOSSIP_S = 4.0
FEW_ROUNDS = 2
LEAF_CALL = "LeafClient (h11 on trio streams; deadline, cancellation, limit)"
HTTP_READ = "httpx, default settings"


class Measured(NamedTuple):
    """All that was measured."""

    slopes: dict[str, Slope]
    leaf_call_us: float
    http_read_us: float
    bursts: dict[int, Burst]
    domain_loss: docs.PlacementCost
    idle_nodes: dict[int, IdleNode]
    query_us: dict[int, float]


def direct_slopes() -> dict[str, Slope]:
    """Measure what needs no process but this one."""
    found: dict[str, Slope] = {}
    for part in (query_slopes, member_slopes, gossip_slopes, document_slopes, state_slopes):
        began = time.monotonic()
        found |= part()
        print(f"{part.__name__}: {time.monotonic() - began:.0f} s", file=sys.stderr, flush=True)
    return found


def query_slopes() -> dict[str, Slope]:
    """Measure a query at its root and a leaf call at the owner."""
    roots = [
        Spec("query start", "query at its root until its calls leave", "us"),
        Spec("query", "query at its root, all of the reducer", "us"),
    ]
    owners = [Spec("owner", "leaf call at the owner, queue and slot", "us")]
    return measure(roots, "leaf calls", FAN_OUTS, query_parts.query_cost) | measure(
        owners, "leaves owned", OWNED, lambda n: (query_parts.owner_call_us(n),)
    )


def member_slopes() -> dict[str, Slope]:
    """Measure membership while nothing happens."""
    specs = [
        Spec("member msgs", "membership, idle", "messages/s sent"),
        Spec("member bytes", "membership, idle", "bytes/s sent"),
        Spec("member cpu", "membership, idle", "us/s"),
    ]
    return measure(specs, "nodes", NODES, lambda n: member_parts.steady(n, STEADY_S), FEW_ROUNDS)


def gossip_slopes() -> dict[str, Slope]:
    """Measure gossip without and with changes."""
    share = target.LEAVES / target.NODES
    names = (
        ("msgs", "messages/s sent"),
        ("bytes", "bytes/s sent"),
        ("cpu", "us/s"),
        ("reach", "s to the last node"),
    )
    idle = [Spec(f"gossip idle {key}", "gossip, idle", unit) for key, unit in names[:3]]
    busy = [Spec(f"gossip {key}", "gossip, 1 change a second in all", unit) for key, unit in names]
    return measure(
        idle,
        "nodes",
        GOSSIP_NODES,
        lambda n: gossip_parts.gossip_cost(n, int(n * share), 0.0, GOSSIP_S),
        FEW_ROUNDS,
    ) | measure(
        busy,
        "nodes",
        GOSSIP_NODES,
        lambda n: gossip_parts.gossip_cost(n, int(n * share), 1.0, GOSSIP_S),
        FEW_ROUNDS,
    )


def document_slopes() -> dict[str, Slope]:
    """Measure the stored documents and the heartbeats that the placement asks for."""
    pairs = [
        Spec("pair msgs", "pair heartbeats", "messages/s sent"),
        Spec("pair bytes", "pair heartbeats", "bytes/s sent"),
        Spec("pair cpu", "pair heartbeats", "us/s"),
    ]
    config = [
        Spec("config bytes", "configuration document", "bytes"),
        Spec("config small", "the same, zlib", "bytes"),
        Spec("config cpu", "decoding and indexing it", "us"),
        Spec("config delta", "its change by one move", "bytes"),
        Spec("config patch", "decoding and applying the change", "us"),
    ]
    placement = [
        Spec("placement bytes", "placement document", "bytes"),
        Spec("placement small", "the same, zlib", "bytes"),
        Spec("placement delta", "its change when one host goes", "bytes"),
        Spec("placement plan", "planning it", "us"),
        Spec("placement cpu", "decoding and applying it", "us"),
        Spec("placement patch", "decoding and patching the change", "us"),
    ]
    proportion = "leaves, nodes in proportion"
    return (
        measure(pairs, proportion, LEAVES[1:], docs.pairs)
        | measure(config, "leaves", LEAVES, docs.config_cost)
        | measure(placement, proportion, LEAVES, docs.placement_cost)
    )


def state_slopes() -> dict[str, Slope]:
    """Measure what a node keeps in memory."""
    members = [Spec("member memory", "table of members", "bytes")]
    leaves = [
        Spec("gossip memory", "gossip entries", "bytes"),
        Spec("view memory", "root's view of the leaves", "bytes"),
        Spec("config memory", "configuration in force", "bytes"),
        Spec("placement memory", "placement in force", "bytes"),
    ]
    return measure(
        members, "nodes", NODES, lambda n: (state_parts.member_bytes(n),), FEW_ROUNDS
    ) | measure(leaves, "leaves", LEAVES, state_parts.leaf_state, FEW_ROUNDS)


def process_slopes() -> dict[str, Slope]:
    """Measure what needs a second process."""
    front = [Spec("front", "HTTP side, one request", "us")]
    frame = [Spec("frame", "stream message and its answer, at one end", "us")]
    streams = [
        Spec("stream cpu", "open streams, idle", "us/s"),
        Spec("stream memory", "open streams", "bytes"),
    ]
    return (
        measure(front, "hits", (10, 50, 200), lambda n: (front_parts.front_us(n),))
        | measure(frame, "leaf calls a message", BATCHES, lambda n: (link_parts.frame_us(n),))
        | measure(streams, "streams", STREAMS, link_parts.idle)
    )


def http_calls_us() -> tuple[float, float]:
    """Measure a call of the leaf client, and one of the client that reads lists and documents."""
    with child_server("tools.echo_leaf") as port:
        found = measure_clients(port, 5, 800, 8, 1)
    return statistics.median(found[LEAF_CALL]), statistics.median(found[HTTP_READ])


def hot_path(found: Measured) -> Measured:
    """Measure the query path and the streams again; the rest stays as it was found."""
    slopes = found.slopes | query_slopes() | process_slopes()
    call_us, read_us = http_calls_us()
    return found._replace(slopes=slopes, leaf_call_us=call_us, http_read_us=read_us)


def gather() -> Measured:
    """Measure everything; takes some minutes."""
    slopes = direct_slopes() | process_slopes()
    bursts = {killed: member_parts.deaths(target.NODES, killed) for killed in KILLED}
    print("bursts done", file=sys.stderr, flush=True)
    idle_nodes = {nodes: daemon_parts.idle_node(nodes) for nodes in DAEMONS}
    call_us, read_us = http_calls_us()
    return Measured(
        slopes=slopes,
        leaf_call_us=call_us,
        http_read_us=read_us,
        bursts=bursts,
        domain_loss=docs.placement_cost(target.LEAVES, target.NODES // target.DOMAINS),
        idle_nodes=idle_nodes,
        query_us=daemon_parts.query_us(),
    )
