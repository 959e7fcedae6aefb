"""The node's one reducer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge.effects import CloseIdle
from cactussaddle_core.edge.effects import Connections
from cactussaddle_core.edge.effects import EndProcess
from cactussaddle_core.edge.effects import KeepConnections
from cactussaddle_core.edge.effects import Note
from cactussaddle_core.edge.effects import SetPlace
from cactussaddle_core.edge.effects import TellHints
from cactussaddle_core.edge.state import HOUSEKEEPING_S
from cactussaddle_core.fanout import reduce as fanout
from cactussaddle_core.fanout.model import Declined
from cactussaddle_core.fanout.model import ProbeLeaf
from cactussaddle_core.fleet.hints import take_hints
from cactussaddle_core.fleet.probing import due_probes
from cactussaddle_core.fleet.probing import probe_ended
from cactussaddle_core.spread.tree import place_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.edge.effects import Effect
    from cactussaddle_core.edge.state import EdgeState
    from cactussaddle_core.spread.model import Member

# When a caller of a node that is not ready may try again; it is likely to reach another node.
NOT_READY_RETRY_S = 0.2


def reduce(state: EdgeState, event: ev.Event, now: float) -> list[Effect]:
    """Take in one event; return what is to be done."""
    return _HANDLERS[type(event)](state, event, now)


def _request_arrived(state: EdgeState, event: ev.RequestArrived, now: float) -> list[Effect]:
    request = event.request
    table = state.tables.table
    if table is None or not state.fleet.loaded:
        return [_decline(request.req_id, ResultCode.NOT_CONFIGURED, "not loaded yet")]
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    route = table.find(request.host, path)
    if route is None:
        return [_decline(request.req_id, ResultCode.UNKNOWN_ROUTE, "no such route")]
    services = route.shards or (state.splits.choose(route),)
    return [*fanout.begin(state.fanout, request, route, services, table.version, now)]


def _decline(req_id: int, code: ResultCode, message: str) -> Declined:
    retry_after_s = 0.0 if code is ResultCode.UNKNOWN_ROUTE else NOT_READY_RETRY_S
    return Declined(req_id, code, message, False, retry_after_s)


def _caller_gone(state: EdgeState, event: ev.CallerGone, now: float) -> list[Effect]:
    return [*fanout.caller_gone(state.fanout, event.req_id)]


def _call_left(state: EdgeState, event: ev.CallLeft, now: float) -> list[Effect]:
    fanout.call_left(state.fanout, event.call_id)
    return []


def _call_ended(state: EdgeState, event: ev.CallEnded, now: float) -> list[Effect]:
    return [*fanout.call_ended(state.fanout, event.end, now)]


def _connected(state: EdgeState, event: ev.Connected, now: float) -> list[Effect]:
    leaf = state.fleet.leaves.get(event.leaf)
    if leaf is not None:
        state.fanout.timings.connected(leaf, event.took_s)
    return []


def _probe_ended(state: EdgeState, event: ev.ProbeEnded, now: float) -> list[Effect]:
    leaf = state.fleet.leaves.get(event.leaf)
    before = leaf.standing if leaf is not None else None
    probe_ended(state.fleet, event.leaf, event.health, now)
    if leaf is None or leaf.standing is before:
        return []
    return [Note("leaf_standing", {"leaf": leaf.name, "standing": leaf.standing.value})]


def _table_seen(state: EdgeState, event: ev.TableSeen, now: float) -> list[Effect]:
    if not state.tables.offer(event.table):
        return []
    note = Note("table", {"version": event.table.version, "routes": len(event.table.routes)})
    state.connections_changed = True
    return [note]


def _leaves_listed(state: EdgeState, event: ev.LeavesListed, now: float) -> list[Effect]:
    for leaf in state.fleet.listed(event.entries, now):
        state.plan_first_probe(leaf, now)
    state.fleet.sweep(now)
    state.connections_changed = True
    return [Note("leaves_listed", {"leaves": len(event.entries)})]


def _leaf_changed(state: EdgeState, event: ev.LeafChanged, now: float) -> list[Effect]:
    entry = event.entry
    started = state.fleet.changed(entry, now)
    if started is not None:
        state.plan_first_probe(started, now)
    fields = {
        "leaf": entry.leaf,
        "service": entry.service,
        "domain": entry.domain,
        "draining": entry.draining,
        "cold_left_s": entry.cold_left_s,
    }
    state.connections_changed = True
    return [Note("leaf", fields)]


def _leaf_removed(state: EdgeState, event: ev.LeafRemoved, now: float) -> list[Effect]:
    state.fleet.removed(event.leaf, now)
    note = Note("leaf_removed", {"leaf": event.leaf})
    return [note, *_sweep(state, now)]


def _domain_marked(state: EdgeState, event: ev.DomainMarked, now: float) -> list[Effect]:
    domains = set(state.fleet.domains_out)
    if event.out:
        domains.add(event.domain)
    else:
        domains.discard(event.domain)
    return _set_domains_out(state, frozenset(domains))


def _domains_listed(state: EdgeState, event: ev.DomainsListed, now: float) -> list[Effect]:
    return _set_domains_out(state, event.domains)


def _set_domains_out(state: EdgeState, domains: frozenset[str]) -> list[Effect]:
    if domains == state.fleet.domains_out:
        return []
    state.fleet.domains_out = domains
    return [Note("domains_out", {"domains": sorted(domains)})]


def _member_seen(state: EdgeState, event: ev.MemberSeen, now: float) -> list[Effect]:
    return _set_members(state, {**state.members, event.member.node: event.member}, now)


def _member_gone(state: EdgeState, event: ev.MemberGone, now: float) -> list[Effect]:
    members = {name: member for name, member in state.members.items() if name != event.node}
    return _set_members(state, members, now)


def _members_listed(state: EdgeState, event: ev.MembersListed, now: float) -> list[Effect]:
    return _set_members(state, {member.node: member for member in event.members}, now)


def _set_members(state: EdgeState, members: dict[str, Member], now: float) -> list[Effect]:
    if members == state.members:
        return []
    state.set_members(members, now)
    place = place_of(state.me.node, state.me.domain, members.values(), state.me.region_of)
    fields = {"nodes": len(members), "follows": [member.node for member in place.follow]}
    note = Note("members", {**fields, "store_at": place.store_at})
    state.connections_changed = True
    return [note, SetPlace(place)]


def _record_rejected(state: EdgeState, event: ev.RecordRejected, now: float) -> list[Effect]:
    return [Note("record_rejected", {"key": event.key, "reason": event.reason})]


def _store_lost(state: EdgeState, event: ev.StoreLost, now: float) -> list[Effect]:
    state.fleet.store_lost(now)
    if not state.store_up:
        return []
    state.store_up = False
    return [Note("store_lost", {"reason": event.reason})]


def _store_back(state: EdgeState, event: ev.StoreBack, now: float) -> list[Effect]:
    state.fleet.store_back(now)
    if state.store_up:
        return []
    state.store_up = True
    return [Note("store_back", {})]


def _stop_asked(state: EdgeState, event: ev.StopAsked, now: float) -> list[Effect]:
    state.stopping.ask(event.grace_s, now)
    return [Note("stop_asked", {"requests": len(state.fanout.queries)})]


def _tick(state: EdgeState, event: ev.Tick, now: float) -> list[Effect]:
    effects: list[Effect] = [*fanout.tick(state.fanout, now)]
    if now < state.housekeeping_at:
        return effects
    state.housekeeping_at = now + HOUSEKEEPING_S
    state.budget.nodes = state.member_count(now)
    effects += _sweep(state, now)
    effects += [ProbeLeaf(leaf) for leaf in due_probes(state.fleet, now)]
    effects += _keep_connections(state, now)
    effects += _tell_hints(state)
    return effects + _go_on_stopping(state, now)


def _tell_hints(state: EdgeState) -> list[Effect]:
    hints = state.fleet.hints.take()
    if not hints:
        return []
    region_of = state.me.region_of
    region = region_of.get(state.me.domain)
    near = tuple(
        member
        for member in state.members.values()
        if member.node != state.me.node and region_of.get(member.domain) == region
    )
    return [TellHints(near, hints)] if near else []


def _hints_heard(state: EdgeState, event: ev.HintsHeard, now: float) -> list[Effect]:
    take_hints(state.fleet, event.hints, state.fanout.rng, now)
    return []


def _sweep(state: EdgeState, now: float) -> list[Effect]:
    dropped = state.fleet.sweep(now)
    if not dropped:
        return []
    state.connections_changed = True
    return [Note("leaves_dropped", {"leaves": [leaf.name for leaf in dropped]})]


def _go_on_stopping(state: EdgeState, now: float) -> list[Effect]:
    if not state.stopping.closing(now):
        return []
    if state.stopping.may_end(len(state.fanout.queries), now):
        return [EndProcess()]
    return [CloseIdle()]


def _keep_connections(state: EdgeState, now: float) -> list[Effect]:
    table = state.tables.table
    if table is None or not state.connections_changed:
        return []
    state.connections_changed = False
    used = table.services_in_use()
    kept = tuple(
        Connections(leaf, state.connections_to(leaf, now), state.warm_connections(leaf))
        for leaf in state.fleet.leaves.values()
        if leaf.entry.service in used
    )
    return [KeepConnections(kept)]


_HANDLERS: dict[type[Any], Callable[[EdgeState, Any, float], list[Effect]]] = {
    ev.RequestArrived: _request_arrived,
    ev.CallerGone: _caller_gone,
    ev.CallLeft: _call_left,
    ev.CallEnded: _call_ended,
    ev.Connected: _connected,
    ev.ProbeEnded: _probe_ended,
    ev.TableSeen: _table_seen,
    ev.LeavesListed: _leaves_listed,
    ev.LeafChanged: _leaf_changed,
    ev.LeafRemoved: _leaf_removed,
    ev.DomainMarked: _domain_marked,
    ev.DomainsListed: _domains_listed,
    ev.MemberSeen: _member_seen,
    ev.MemberGone: _member_gone,
    ev.MembersListed: _members_listed,
    ev.HintsHeard: _hints_heard,
    ev.RecordRejected: _record_rejected,
    ev.StoreLost: _store_lost,
    ev.StoreBack: _store_back,
    ev.StopAsked: _stop_asked,
    ev.Tick: _tick,
}
