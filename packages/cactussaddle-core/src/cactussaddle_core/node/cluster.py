"""Exchange between nodes: membership, gossip, and heartbeats between leaf owners and deputies."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactussaddle_core.gossip.model import FetchConfig
from cactussaddle_core.gossip.model import FetchPlacement
from cactussaddle_core.membership import model as membership
from cactussaddle_core.node import holding
from cactussaddle_core.node import limits
from cactussaddle_core.node import placing
from cactussaddle_core.node import planned
from cactussaddle_core.node import spread
from cactussaddle_core.node.effects import Log
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.effects import StopProcess
from cactussaddle_core.slots.book import IDLE_PING_INTERVAL_S
from cactussaddle_core.slots.book import PING_INTERVAL_S
from cactussaddle_core.slots.messages import LeafHint
from cactussaddle_core.wire import DocRequest

if TYPE_CHECKING:
    from cactussaddle_core.gossip.model import Changed
    from cactussaddle_core.node.events import PeerMessage
    from cactussaddle_core.node.state import NodeState


def tick(state: NodeState, now: float) -> list[Any]:
    """Run the membership, gossip, heartbeat and placement work that is due."""
    member_effects = state.members.tick(now)
    effects = _run_membership(state, member_effects, now)
    effects += _gossip_round(state, _ping_target(member_effects), now)
    interval_s = PING_INTERVAL_S if state.owner.where else IDLE_PING_INTERVAL_S
    if now >= state.paired_at + interval_s:
        state.paired_at = now
        sends = state.slots.pair_pings(now, _hints(state, now))
        effects += [SendPeer(send.to, send.message) for send in sends]
    effects += placing.tick(state, now)
    return effects


def member_message(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Handle a membership message."""
    return _run_membership(state, state.members.receive(event.message, now), now)


def pair_ping(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Answer an owner's heartbeat and apply its hints about the limits of its leaves."""
    for hint in event.message.hints:
        limits.leaf_limit(state, hint.leaf).take_hint(hint.limit, hint.incarnation, now)
    pong = state.slots.receive_ping(event.sender, event.message, now)
    return [SendPeer(event.sender, pong)]


def pair_pong(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Record a deputy's answer to a heartbeat; fetch the placement if the deputy's is newer."""
    state.slots.receive_pong(event.sender, event.message, now)
    return _fetch_placement(state, event.sender, event.message.epoch)


def gossip_message(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Handle a gossip message: apply changed entries and fetch newer documents."""
    received = state.gossip.receive(event.sender, event.message, now)
    effects: list[Any] = [SendPeer(send.to, send.message) for send in received.sends]
    for change in received.changes:
        # Gossip brings each version of an entry once, so an error must not lose the other entries.
        try:
            effects += _entry_changed(state, change, now, wall)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            fields = {"origin": change.origin, "key": change.key, "reason": str(exc)}
            effects.append(Log("error", "entry_malformed", fields))
    for fetch in received.fetches:
        effects.append(_fetch(state, fetch))
    return effects


def host_dropped(state: NodeState, name: str, now: float) -> list[Any]:
    """Remove a host that is no longer in the host list from membership."""
    return _run_membership(state, state.members.host_dropped(name, now), now)


def leave(state: NodeState, now: float) -> list[Any]:
    """Announce to the other nodes that this node is leaving."""
    return _run_membership(state, state.members.leave(now), now)


def _hints(state: NodeState, now: float) -> dict[str, LeafHint]:
    return {
        leaf: LeafHint(leaf, limit.health(now).limit, limit.incarnation)
        for leaf, limit in state.limits.items()
        if limit.incarnation
    }


def _ping_target(effects: list[membership.Effect]) -> str:
    """Return the node that a membership round pings, or an empty string if there is none."""
    for effect in effects:
        if isinstance(effect, membership.Send) and isinstance(effect.message, membership.Ping):
            return effect.to
    return ""


def _gossip_round(state: NodeState, partner: str, now: float) -> list[Any]:
    state.gossip.set_versions(state.cfg.revision, state.slots.epoch)
    effects: list[Any] = []
    if state.slots.awaited():
        effects += spread.put_settled(state, now)
    peers = [record.name for record in state.members.live()]
    sends = state.gossip.tick(now, peers, partner)
    return effects + [SendPeer(send.to, send.message) for send in sends]


def _entry_changed(state: NodeState, change: Changed, now: float, wall: float) -> list[Any]:
    if change.value is None:
        return []
    if change.key == spread.SETTLED_KEY:
        return placing.settled_received(state, change.origin, change.value, now)
    if change.key == planned.EVIDENCE_KEY:
        return planned.evidence_heard(state, change.value, now, wall)
    if change.key == planned.FINALS_KEY:
        return planned.finals_heard(state, change.value, now, wall)
    if change.key == planned.LATCH_KEY:
        return planned.latch_heard(state, change.value, now, wall)
    if change.key == holding.HOLD_KEY:
        return holding.heard(state, change.value, now)
    if change.key.startswith(spread.LEAF_PREFIX):
        spread.status_received(state, change.origin, change.value)
    return []


def _fetch(state: NodeState, fetch: FetchConfig | FetchPlacement) -> SendPeer:
    if isinstance(fetch, FetchConfig):
        return SendPeer(fetch.peer, DocRequest("config", state.cfg.revision))
    return SendPeer(fetch.peer, DocRequest("placement", state.slots.epoch))


def _fetch_placement(state: NodeState, peer: str, epoch: int) -> list[Any]:
    if epoch <= state.slots.epoch:
        return []
    return [SendPeer(peer, DocRequest("placement", state.slots.epoch))]


def _run_membership(state: NodeState, effects: list[membership.Effect], now: float) -> list[Any]:
    out: list[Any] = []
    for effect in effects:
        match effect:
            case membership.Send():
                out.append(SendPeer(effect.to, effect.message, effect.address))
            case membership.Changed():
                out += _member_changed(state, effect, now)
            case membership.Gone():
                state.slots.gone(effect.name, effect.incarnation, now)
                state.planning = state.planning._replace(dirty=True)
            case membership.Answered():
                state.slots.refreshed(effect.placement_epoch, effect.asked_at, now)
                out += _fetch_placement(state, effect.peer, effect.placement_epoch)
            case membership.Superseded():
                out.append(StopProcess(f"incarnation {effect.incarnation} has taken over"))
            case membership.Paused():
                out.append(Log("warning", "paused", {"gap_s": effect.gap_s}))
    return out


def _member_changed(state: NodeState, change: membership.Changed, now: float) -> list[Any]:
    state.planning = state.planning._replace(dirty=True)
    old, new = change.old, change.new
    if old is not None and (old.incarnation, old.state) == (new.incarnation, new.state):
        return []
    fields = {
        "member": new.name,
        "incarnation": new.incarnation,
        "state": membership.NodeState(new.state).name.lower(),
        "address": new.address,
    }
    return [Log("info", "member_changed", fields)]
