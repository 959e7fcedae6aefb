"""Placement of leaves on nodes: applies stored placements and writes new ones."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactussaddle_core.membership.model import NodeState as MemberState
from cactussaddle_core.node import spread
from cactussaddle_core.node.effects import Log
from cactussaddle_core.node.effects import WatchLeaves
from cactussaddle_core.node.effects import WritePlacement
from cactussaddle_core.node.state import PolicyName
from cactussaddle_core.slots import LeafSite
from cactussaddle_core.slots import Placement
from cactussaddle_core.slots import PlacementDelta
from cactussaddle_core.slots import diff_placement
from cactussaddle_core.slots import patch_placement
from cactussaddle_core.slots import plan_placement
from cactussaddle_core.slots import writer_delay_s
from cactussaddle_core.wire import DocReply

if TYPE_CHECKING:
    from cactussaddle_core.node.state import NodeState
    from cactussaddle_core.slots import Member


CHECK_INTERVAL_S = 0.25
FIRST_CHECK_DELAY_S = 1.5
PLACEMENT = "placement"


def tick(state: NodeState, now: float) -> list[Any]:
    """Write a new placement if one is needed and it is this node's turn to write."""
    planning = state.planning
    if planning.look_at == 0.0:
        state.planning = planning._replace(look_at=now + FIRST_CHECK_DELAY_S)
        return []
    if now < planning.look_at or state.cfg.revision == 0 or state.members.stale:
        return []
    state.planning = planning._replace(look_at=now + CHECK_INTERVAL_S)
    live = _live_members(state)
    delay_s = writer_delay_s(state.me.node, live.keys())
    if delay_s is None or not _may_need_change(state, now):
        return []
    return _write(state, live, delay_s, now)


def apply(state: NodeState, data: bytes, source: str, now: float) -> list[Any]:
    """Bring a stored placement into force if it is newer."""
    placement = msgspec.json.decode(data, type=Placement)
    if placement["epoch"] <= state.slots.epoch:
        return []
    delta = diff_placement(state.slots.placement, placement)
    state.placement_deltas.keep(delta.base, delta.epoch, msgspec.msgpack.encode(delta))
    return take_over(state, placement, source, now)


def apply_delta(state: NodeState, data: bytes, source: str, now: float) -> list[Any]:
    """Bring a placement into force from a delta to the one in force.

    A delta that starts from another epoch is dropped; the next message that announces a newer
    epoch makes this node request it again.
    """
    delta = msgspec.msgpack.decode(data, type=PlacementDelta)
    placement = patch_placement(state.slots.placement, delta)
    if placement is None or placement["epoch"] <= state.slots.epoch:
        return []
    state.placement_deltas.keep(delta.base, delta.epoch, data)
    return take_over(state, placement, source, now)


def answers(state: NodeState, revision: int) -> list[DocReply]:
    """Return the replies to a peer at `revision`: deltas to the placement in force, or all of it."""
    if revision >= state.slots.epoch:
        return []
    return state.placement_deltas.replies(revision) or [_full_placement(state)]


def _full_placement(state: NodeState) -> DocReply:
    return DocReply(PLACEMENT, state.slots.epoch, msgspec.json.encode(state.slots.placement))


def take_over(state: NodeState, placement: Placement, source: str, now: float) -> list[Any]:
    """Apply a placement with the slot and connection limits of the configuration in force."""
    slots, connections = _limits(state)
    state.slots.apply_placement(placement, slots, now, connections)
    state.members.placement_epoch = placement["epoch"]
    state.planning = state.planning._replace(dirty=True, wanted_since=None)
    spread.refresh_statuses(state)
    fields = {"epoch": placement["epoch"], "source": source, "owned": len(state.slots.owned())}
    return [Log("info", "placement_in_force", fields), watched(state)]


def watched(state: NodeState) -> WatchLeaves:
    """Return the leaves whose health this node checks, with their addresses."""
    return WatchLeaves(
        {
            name: leaf["address"]
            for name, leaf in state.leaves.items()
            if _is_responsible(state, name)
        }
    )


def settled_received(state: NodeState, origin: str, value: bytes, now: float) -> list[Any]:
    """Record the settled epoch that a node has sent."""
    settled = spread.read_settled(value)
    state.slots.heard(origin, settled.incarnation, settled.epoch, now, settled.address)
    state.planning = state.planning._replace(dirty=True)
    return []


def _is_responsible(state: NodeState, leaf: str) -> bool:
    if state.policy is PolicyName.BASELINE:
        return True
    entry = state.slots.placement["entries"].get(leaf)
    return entry is not None and state.me.node in (entry["owner"], entry["deputy"])


def _live_members(state: NodeState) -> dict[str, Member]:
    records = [record for record in state.members.live() if record.state != MemberState.LEAVING]
    if not state.stopping:
        records.append(state.members.me)
    return {
        record.name: {
            "incarnation": record.incarnation,
            "address": record.address,
            "domain": record.domain,
        }
        for record in records
    }


def _leaving_members(state: NodeState) -> set[str]:
    records = state.members.members()
    leaving = {record.name for record in records if record.state == MemberState.LEAVING}
    return leaving | {state.me.node} if state.stopping else leaving


def _may_need_change(state: NodeState, now: float) -> bool:
    """Return whether anything has changed that may require a new placement."""
    pending = any(entry["pending"] for entry in state.slots.placement["entries"].values())
    gone = state.slots.gone_and_clear(now)
    return state.planning.dirty or pending or bool(gone)


def _write(state: NodeState, live: dict[str, Member], delay_s: float, now: float) -> list[Any]:
    sites = {name: LeafSite(leaf["service"], leaf["domain"]) for name, leaf in state.leaves.items()}
    previous = state.slots.placement
    gone = state.slots.gone_and_clear(now)
    settled = state.slots.settled()
    leaving = _leaving_members(state)
    planned = plan_placement(previous, sites, live, settled, gone, leaving=leaving)
    if planned is previous:
        state.planning = state.planning._replace(dirty=False, wanted_since=None)
        return []
    since = state.planning.wanted_since
    if since is None:
        since = now
        state.planning = state.planning._replace(wanted_since=now)
    if now - since < delay_s:
        return []
    state.planning = state.planning._replace(wanted_since=None, look_at=now + 2 * CHECK_INTERVAL_S)
    return [WritePlacement(planned["epoch"], msgspec.json.encode(planned))]


def _limits(state: NodeState) -> tuple[dict[str, int], dict[str, int]]:
    slots: dict[str, int] = {}
    connections: dict[str, int] = {}
    for name, leaf in state.leaves.items():
        service = state.cfg.services[leaf["service"]]
        slots[name] = service["slots"]
        connections[name] = service["connections"]
    return slots, connections
