"""Costs of a query at its root and of a leaf call at the owner of the leaf, by direct calls."""

from __future__ import annotations

import time

from typing import NamedTuple

import msgspec

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import LeafCall
from cactussaddle_core.calls import LeafResult
from cactussaddle_core.calls import SnapshotInfo
from cactussaddle_core.config.model import encode_doc
from cactussaddle_core.membership.model import MemberRecord
from cactussaddle_core.membership.model import Rumor
from cactussaddle_core.node.documents import CONFIG
from cactussaddle_core.node.documents import PLACEMENT
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.node.events import PeerMessage
from cactussaddle_core.node.reduce import reduce
from cactussaddle_core.node.state import NodeIdentity
from cactussaddle_core.node.state import NodeState
from cactussaddle_core.node.state import PolicyName
from cactussaddle_core.owner import book as owner
from cactussaddle_core.query import reduce as query
from cactussaddle_core.query.state import QueryAnswer
from cactussaddle_core.query.state import QueryRequest
from cactussaddle_core.query.state import SendCall
from cactussaddle_core.slots import SlotBook
from tools.capacity import target
from tools.capacity.fleet import INCARNATION
from tools.capacity.fleet import SNAPSHOT
from tools.capacity.fleet import domain_of
from tools.capacity.fleet import make_config
from tools.capacity.fleet import make_members
from tools.capacity.fleet import make_placement
from tools.capacity.fleet import node_address
from tools.capacity.fleet import node_name
from tools.echo_leaf import HITS

MIN_CALLS = 4_000
DEADLINE_S = 1.0
SHARDS = (0, 1)
SLOTS = 6
WALL_S = 1e9


class QueryCost(NamedTuple):
    """CPU microseconds of one query at its root: until the calls leave, and in all."""

    start_us: float
    total_us: float


def make_root(leaves: int) -> NodeState:
    """Return the state of a node among all of the target that knows so many leaves."""
    identity = NodeIdentity(node_name(0), INCARNATION, node_address(0), domain_of(0))
    root = NodeState(me=identity, policy=PolicyName.ADAPTIVE, seed=1)
    records = tuple(
        MemberRecord(node_name(n), INCARNATION + n, 0, 0, node_address(n), domain_of(n))
        for n in range(1, target.NODES)
    )
    table = Rumor(records[0], False, True, records)
    placement = make_placement(make_members(target.NODES), leaves)
    events = (
        PeerMessage(records[0].name, table),
        DocSeen(PLACEMENT, msgspec.json.encode(placement), "store"),
        DocSeen(CONFIG, encode_doc(make_config(leaves)), "store"),
    )
    for event in events:
        reduce(root, event, 0.0, WALL_S)
    for name, leaf in root.queries.view.leaves.items():
        root.queries.view.set_snapshots(name, "i1", (SnapshotInfo(SNAPSHOT, len(SHARDS), SHARDS),))
        leaf.limit = SLOTS
    return root


def answer_body(leaf: str) -> bytes:
    """Return a leaf's answer of `HITS` hits."""
    hits = [{"id": f"{leaf}/{n}", "score": 1.0 / (n + 1)} for n in range(HITS)]
    head = {"leaf": leaf, "incarnation": "i1", "snapshot": SNAPSHOT, "shards": SHARDS}
    return msgspec.json.encode({**head, "of": len(SHARDS), "hits": hits})


def query_cost(services: int) -> QueryCost:
    """Return the cost of queries over so many services; the encoding on streams is not in it."""
    root = make_root(services * (target.REPLICAS + 1))
    book = root.queries
    bodies = {name: answer_body(name) for name in book.view.leaves}
    names = tuple(sorted(root.cfg.services))
    rounds = max(3, MIN_CALLS // services)
    start_s = total_s = 0.0
    for number in range(rounds):
        root.now = now = number * 0.1
        req = QueryRequest(number + 1, "r", names, 0, DEADLINE_S, 0.5, 10, 99, b"{}")
        began = time.process_time()
        effects = query.start_query(book, req, now)
        sent = time.process_time()
        start_s += sent - began
        calls = [effect.call for effect in effects if isinstance(effect, SendCall)]
        results = [
            LeafResult(call.call_id, CallOutcome.OK, bodies[call.leaf], 5.0, 0.0, 0.0)
            for call in calls
        ]
        began = time.process_time()
        ends = [query.take_result(book, result, now + 0.01) for result in results]
        query.tick(book, now + 2.0)
        total_s += time.process_time() - began
        assert isinstance(ends[-1][-1], QueryAnswer)
    total_s += start_s
    return QueryCost(start_s * 1e6 / rounds, total_s * 1e6 / rounds)


def owner_call_us(leaves: int) -> float:
    """Return CPU microseconds of one call at the owner: queue, slot, end and reply."""
    slots = SlotBook(node="n0", incarnation=1)
    members = make_members(2)
    placement = make_placement(members, leaves, all_to=("n0", "n1"))
    slots.apply_placement(placement, dict.fromkeys(placement["entries"], 6), 0.0)
    slots.refreshed(placement["epoch"], 0.0, 0.0)
    gate = owner.Gate(
        is_open=lambda leaf: True,
        allowed=slots.usable,
        admit=slots.acquire,
        ended=lambda leaf, call_id, end, now: slots.release(leaf, call_id, now),
    )
    book = owner.OwnerBook(gate=gate)
    names = list(placement["entries"])
    began = time.process_time()
    for number in range(MIN_CALLS):
        now = number * 1e-4
        call = LeafCall(number, names[number % leaves], "r", 7, 70.0, 0, 99, "", b"{}")
        effects = owner.take_call(book, "root", call, now)
        assert isinstance(effects[0], owner.Start), effects
        result = LeafResult(number, CallOutcome.OK, b"", 5.0, 0.0, 0.0)
        owner.call_ended(book, "root", result, "i1", now)
    return (time.process_time() - began) * 1e6 / MIN_CALLS
