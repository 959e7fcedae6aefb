"""The sums at the target, from the measured slopes."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.membership.membership import PROBE_INTERVAL_S
from cactussaddle_core.node.state import HOST_WATCHERS
from cactussaddle_core.slots.book import PING_INTERVAL_S
from cactussaddle_node.daemon import HOST_LIST_IDLE_INTERVAL_S
from cactussaddle_node.daemon import HOST_LIST_INTERVAL_S
from cactussaddle_node.leafrunner import HEALTH_CHECK_INTERVAL_S
from cactussaddle_node.storewatch import REREAD_INTERVAL_S
from tools.capacity import target

if TYPE_CHECKING:
    from tools.capacity.gather import Measured

# HTTP/2 frame head 9, gRPC prefix 5, the wire's own list 9, TCP and IP heads 52.
MESSAGE_HEAD_BYTES = 75
PING_BYTES = 12
# Request and its heads, and the heads that acknowledge the answer.
HEALTH_BYTES = 160
READ_BYTES = 350
DOCUMENTS_READ = 3
ASK_BYTES = 20
RELAY_GROUPS = 24
RELAY_FLUSH_S = 0.003
US_PER_S = 1e6


class Control(NamedTuple):
    """One mechanism of control on one node: messages and bytes a second sent, CPU, memory."""

    name: str
    mechanism: str
    messages_per_s: float = 0.0
    bytes_per_s: float = 0.0
    core_share: float = 0.0
    memory_bytes: float = 0.0


class Work(NamedTuple):
    """One part of the query path on one node, in cores."""

    name: str
    rate: float
    unit_us: float

    @property
    def cores(self) -> float:
        """Cores that the part takes."""
        return self.rate * self.unit_us / US_PER_S


def control(found: Measured) -> list[Control]:
    """Return the control work of one node at the target."""
    return [
        *_between_nodes(found),
        _document(found, "configuration", "config", target.CONFIG_CHANGES_PER_S),
        _document(found, "placement", "placement", target.EPOCHS_PER_S),
        _health_checks(found),
        _reads(found),
        Control(
            "root's view of the leaves",
            "from gossip",
            memory_bytes=found.slopes["view memory"].at(target.LEAVES),
        ),
        Control(
            "process with its libraries",
            f"a daemon, idle, {min(found.idle_nodes)} nodes",
            memory_bytes=found.idle_nodes[min(found.idle_nodes)].memory_bytes,
        ),
    ]


def _between_nodes(found: Measured) -> list[Control]:
    nodes, leaves, changes = target.NODES, target.LEAVES, target.LEAF_CHANGES_PER_S

    def at(key: str, size: float = nodes) -> float:
        return found.slopes[key].at(size)

    def of_changes(key: str) -> float:
        return changes * (at(f"gossip {key}") - at(f"gossip idle {key}"))

    # Each push has no answer, so its stream is pinged once, and so are those that push to this node.
    pings = 2.0 * of_changes("msgs")
    return [
        _messages(
            found,
            "membership",
            f"one random probe each {PROBE_INTERVAL_S} s, rumours",
            at("member msgs"),
            at("member bytes"),
            at("member cpu"),
            at("member memory"),
        ),
        _messages(
            found,
            f"gossip, {changes:.2f} changes of a leaf a second in all",
            "digests with the probes, pushes of changes, byte budget",
            of_changes("msgs"),
            at("gossip idle bytes") + of_changes("bytes"),
            at("gossip idle cpu") + of_changes("cpu"),
            at("gossip memory", leaves),
        ),
        _messages(
            found,
            "pair heartbeats",
            f"owner to deputy each {PING_INTERVAL_S} s",
            at("pair msgs", leaves),
            at("pair bytes", leaves),
            at("pair cpu", leaves),
        ),
        _messages(
            found,
            "proof of life of streams",
            "a ping after what had no answer",
            pings,
            pings * PING_BYTES,
        ),
        Control(
            "open streams to all peers",
            "one stream a pair of peers, one timer for all",
            core_share=at("stream cpu", nodes - 1) / US_PER_S,
            memory_bytes=at("stream memory", nodes - 1),
        ),
    ]


def _messages(
    found: Measured,
    name: str,
    mechanism: str,
    rate: float,
    size: float,
    own_us: float = 0.0,
    memory: float = 0.0,
) -> Control:
    """Return a mechanism that sends `rate` messages a second of `size` bytes a second in all."""
    share = (own_us + rate * found.slopes["frame"].at(1)) / US_PER_S
    return Control(name, mechanism, rate, size + rate * MESSAGE_HEAD_BYTES, share, memory)


def _document(found: Measured, name: str, key: str, rate: float) -> Control:
    """Return a stored document that changes at `rate`; each node asks one peer and tells one."""
    leaves = target.LEAVES
    size = ASK_BYTES + found.slopes[f"{key} delta"].at(leaves)
    own_us = found.slopes[f"{key} cpu"].at(leaves) + found.slopes[f"{key} patch"].at(leaves)
    memory = found.slopes[f"{key} memory"].at(leaves)
    mechanism = "three watch the store; the others get the change from a peer"
    return _messages(found, name, mechanism, 2.0 * rate, rate * size, rate * own_us, memory)


def _health_checks(found: Measured) -> Control:
    checks = 2 * target.LEAVES_PER_NODE / HEALTH_CHECK_INTERVAL_S
    return Control(
        "health checks of owned and deputised leaves",
        f"GET /health each {HEALTH_CHECK_INTERVAL_S:g} s",
        checks,
        checks * HEALTH_BYTES,
        checks * found.leaf_call_us / US_PER_S,
    )


def _reads(found: Measured) -> Control:
    reads = 1.0 / HOST_LIST_IDLE_INTERVAL_S + DOCUMENTS_READ / REREAD_INTERVAL_S
    return Control(
        "reads of the host list and the store",
        f"each {HOST_LIST_IDLE_INTERVAL_S:g} s and each {REREAD_INTERVAL_S:g} s, the latter of changes only",
        reads,
        reads * READ_BYTES,
        reads * found.http_read_us / US_PER_S,
    )


def host_list_reads_per_s() -> float:
    """Return the reads of the host list by all nodes."""
    often = HOST_WATCHERS / HOST_LIST_INTERVAL_S
    return often + (target.NODES - HOST_WATCHERS) / HOST_LIST_IDLE_INTERVAL_S


def query_work(found: Measured) -> list[Work]:
    """Return the query path of one node at the target, as it runs."""
    slopes = found.slopes
    queries, calls = target.QUERIES_PER_NODE_S, target.LEAF_CALLS_PER_NODE_S
    per_message = target.FAN_OUT / owners_met()
    # The calls of one query to one owner share a message; their answers come one by one.
    exchanges = calls * (1.0 / per_message + 1.0) / 2.0
    frame_us = slopes["frame"].at(1)
    return [
        Work("root: HTTP side", queries, slopes["front"].at(10)),
        Work(f"root: reducer, {target.FAN_OUT} calls", queries, slopes["query"].at(target.FAN_OUT)),
        Work(f"root: streams, {per_message:.1f} calls a message", exchanges, frame_us),
        Work("owner: streams, 1 answer a message", exchanges, frame_us),
        Work("owner: queue and slot", calls, slopes["owner"].at(5)),
        Work("owner: leaf call", calls, found.leaf_call_us),
    ]


def relayed_work(found: Measured) -> list[Work]:
    """Return the streams of the query path with one relay between root and owner.

    A root sends each group of nodes one message a query; the relay gathers the calls of all roots
    for one owner during `RELAY_FLUSH_S`.
    """
    frame = found.slopes["frame"].fit
    queries, calls = target.QUERIES_PER_NODE_S, target.LEAF_CALLS_PER_NODE_S
    group_calls = target.FAN_OUT / RELAY_GROUPS
    owners = target.NODES / RELAY_GROUPS
    out_messages = min(calls, owners / RELAY_FLUSH_S)
    out_calls = calls / out_messages
    group_messages = queries * RELAY_GROUPS
    to_relay, to_owner = frame.at(group_calls), frame.at(out_calls)
    return [
        Work(f"root to relay, {group_calls:.0f} calls a message", group_messages, to_relay),
        Work("relay from roots", group_messages, to_relay),
        Work(f"relay to owners, {out_calls:.0f} calls a message", out_messages, to_owner),
        Work("owner from relays", out_messages, to_owner),
    ]


def owners_met() -> float:
    """Return how many owners the leaf calls of one query meet, drawn at random."""
    return target.NODES * (1.0 - math.exp(-target.FAN_OUT / target.NODES))


def query_latency_ms(found: Measured) -> tuple[float, float]:
    """Return the CPU time at the root of one query alone, direct and relayed, in milliseconds."""
    slopes = found.slopes
    own_us = slopes["front"].at(10) + slopes["query"].at(target.FAN_OUT)
    direct_us = owners_met() * slopes["frame"].fit.at(target.FAN_OUT / owners_met())
    relayed_us = RELAY_GROUPS * slopes["frame"].fit.at(target.FAN_OUT / RELAY_GROUPS)
    return (own_us + direct_us) / 1000.0, (own_us + relayed_us) / 1000.0
