"""Memory of what a node keeps, by tracemalloc."""

from __future__ import annotations

import gc
import tracemalloc

from typing import TYPE_CHECKING

import msgspec

from cactussaddle_core.calls import SnapshotInfo
from cactussaddle_core.config.model import build_config
from cactussaddle_core.config.model import decode_doc
from cactussaddle_core.config.model import encode_doc
from cactussaddle_core.query.view import FleetView
from cactussaddle_core.slots.model import Placement
from tools.capacity.document_parts import nodes_for
from tools.capacity.fleet import SNAPSHOT
from tools.capacity.fleet import leaf_of
from tools.capacity.fleet import make_config
from tools.capacity.fleet import make_members
from tools.capacity.fleet import make_placement
from tools.capacity.gossip_parts import Fleet
from tools.capacity.member_parts import Members
from tools.capacity.query_parts import SHARDS

if TYPE_CHECKING:
    from collections.abc import Callable

FEW = 4


def traced(make: Callable[[], object]) -> float:
    """Return the bytes that the made object holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return float(size)


def member_bytes(nodes: int) -> float:
    """Return the bytes of one node's table of members."""
    return traced(lambda: Members(nodes=1, seed=1, known=nodes))


def gossip_bytes(leaves: int) -> float:
    """Return the bytes of one node's gossip entries, from a few nodes that hold them all."""
    return traced(lambda: Fleet(nodes=FEW, leaves=leaves, seed=1)) / FEW


def view_bytes(leaves: int) -> float:
    """Return the bytes of what a root knows of the leaves."""
    names = [(leaf_of(number), leaf_of(number)[:-2]) for number in range(leaves)]
    infos = (SnapshotInfo(SNAPSHOT, len(SHARDS), SHARDS),)

    def make() -> FleetView:
        view = FleetView()
        view.apply_leaves(names)
        for name, _ in names:
            view.set_snapshots(name, "i1", infos)
        return view

    return traced(make)


def config_memory(leaves: int) -> float:
    """Return the bytes of a configuration in force."""
    data = encode_doc(make_config(leaves))
    return traced(lambda: build_config(decode_doc(data)))


def placement_memory(leaves: int) -> float:
    """Return the bytes of a placement in force."""
    placement = make_placement(make_members(nodes_for(leaves)), leaves)
    data = msgspec.json.encode(placement)
    return traced(lambda: msgspec.json.decode(data, type=Placement))


def leaf_state(leaves: int) -> tuple[float, float, float, float]:
    """Return the bytes of gossip, the root's view, the configuration and the placement."""
    return (
        gossip_bytes(leaves),
        view_bytes(leaves),
        config_memory(leaves),
        placement_memory(leaves),
    )
