"""The reducer of a node."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.delegation.model import DelegateRefused
from cactussaddle_core.edge import delegating
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.effects import KeepConnections
from cactussaddle_core.edge.effects import LogEvent
from cactussaddle_core.edge.effects import OwnEntryGone
from cactussaddle_core.edge.effects import RemoveFromRoster
from cactussaddle_core.edge.effects import SendCrashes
from cactussaddle_core.edge.effects import SetTreePosition
from cactussaddle_core.edge.effects import TellDuty
from cactussaddle_core.edge.exchange import crashes_heard
from cactussaddle_core.edge.exchange import hints_heard
from cactussaddle_core.edge.exchange import is_nearby
from cactussaddle_core.edge.exchange import leaving_heard
from cactussaddle_core.edge.exchange import limits_heard
from cactussaddle_core.edge.exchange import send_messages
from cactussaddle_core.edge.exchange import traffic_heard
from cactussaddle_core.edge.rolling import advance_rollouts
from cactussaddle_core.edge.rolling import evidence_heard
from cactussaddle_core.edge.rolling import news_heard
from cactussaddle_core.edge.rolling import rollout_cleared
from cactussaddle_core.edge.rolling import rollout_ordered
from cactussaddle_core.edge.rolling import rollout_status_seen
from cactussaddle_core.edge.rolling import rollouts_listed
from cactussaddle_core.edge.shutdown import advance_stop
from cactussaddle_core.edge.shutdown import stop_asked
from cactussaddle_core.edge.starting import advance_waiting
from cactussaddle_core.edge.starting import decline_not_loaded
from cactussaddle_core.edge.starting import decline_stopping
from cactussaddle_core.edge.starting import start_request
from cactussaddle_core.edge.state import HOUSEKEEPING_S
from cactussaddle_core.edge.trying import advance_trials
from cactussaddle_core.edge.trying import trial_removed
from cactussaddle_core.edge.trying import trial_seen
from cactussaddle_core.edge.trying import trial_written
from cactussaddle_core.edge.trying import trials_listed
from cactussaddle_core.fanout import reduce as fanout
from cactussaddle_core.fanout import runs
from cactussaddle_core.fanout.effects import ProbeLeaf
from cactussaddle_core.fleet.probing import apply_probe_result
from cactussaddle_core.fleet.probing import due_probes
from cactussaddle_core.spread.tree import tree_position

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.edge.effects import Effect
    from cactussaddle_core.edge.state import EdgeState
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.routing.table import RoutingTable
    from cactussaddle_core.spread.model import Member

# A probe waits for this node when its connection opens, and when its answer is read.
PROBE_STEPS = 2.0


def reduce(state: EdgeState, event: ev.Event, now: float) -> list[Effect]:
    """Handle one event; return the effects to carry out."""
    effects = _HANDLERS[type(event)](state, event, now)
    if len(state.host_queue.waiting):
        effects += advance_waiting(state, now)
    return effects


def _request_arrived(state: EdgeState, event: ev.RequestArrived, now: float) -> list[Effect]:
    state.traffic.own.count(now)
    if state.stopping.must_give_up(now):
        return [decline_stopping(event.request)]
    if state.is_loaded():
        return start_request(state, event.request, now - event.waited_s, now)
    if not state.store_lost_at_start and state.pending_requests.add(event.request, now):
        return []
    return [decline_not_loaded(event.request)]


def _start_pending(state: EdgeState, now: float) -> list[Effect]:
    """Start the requests that waited for the node to load, if it has."""
    if not state.is_loaded():
        return []
    effects = _keep_connections(state, now)
    for pending in state.pending_requests.take_all():
        effects += start_request(state, pending.request, pending.arrived_at, now)
    return effects


def _caller_gone(state: EdgeState, event: ev.CallerGone, now: float) -> list[Effect]:
    delegated = delegating.caller_gone(state, event.req_id, now)
    if delegated is not None:
        return delegated
    query = state.fanout.queries.get(event.req_id)
    if query is None:
        return _waiting_caller_gone(state, event.req_id, now)
    calls = sum(len(part.open_calls) for part in query.parts)
    left = _caller_left(state, query.request, query.started_at, now)
    left = left._replace(route=query.route.name, calls=calls)
    return [LogEvent(left), *fanout.caller_gone(state.fanout, event.req_id, now)]


def _waiting_caller_gone(state: EdgeState, req_id: int, now: float) -> list[Effect]:
    """Drop a request that waits for the node to load, for room or for a permit."""
    waiting: tuple[CallerRequest, float] | None = state.pending_requests.remove(req_id)
    waiting = waiting or state.host_queue.caller_gone(req_id)
    waiting = waiting or state.crashes.trials.caller_gone(req_id)
    if waiting is None:
        return []
    request, arrived_at = waiting
    return [LogEvent(_caller_left(state, request, arrived_at, now))]


def _caller_left(
    state: EdgeState, request: CallerRequest, since: float, now: float
) -> log.CallerLeft:
    after_ms = round((now - since) * 1000.0, 1)
    return log.CallerLeft(request.request_id, "", after_ms, 0, state.stopping.asked)


def _delegate_ended(state: EdgeState, event: ev.DelegateEnded, now: float) -> list[Effect]:
    delegated = state.delegated.pop(event.req_id, None)
    if delegated is None:
        return []
    if not isinstance(event.outcome, DelegateRefused):
        return delegating.answered(state, delegated, event.outcome, now)
    state.delegates.refused(delegated.member.node, now)
    refused = delegating.note_refused(delegated, event.outcome, now)
    request, arrived_at = delegated.request, delegated.arrived_at
    return [refused, *start_request(state, request, arrived_at, now, may_delegate=False)]


def _call_left(state: EdgeState, event: ev.CallLeft, now: float) -> list[Effect]:
    state.fanout.read_host(event.host, now)
    fanout.call_left(state.fanout, event.call_id, now)
    return []


def _call_ended(state: EdgeState, event: ev.CallEnded, now: float) -> list[Effect]:
    state.fanout.read_host(event.host, now)
    return [*fanout.call_ended(state.fanout, event.end, now)]


def _connected(state: EdgeState, event: ev.Connected, now: float) -> list[Effect]:
    leaf = state.fleet.leaves.get(event.leaf)
    if leaf is not None:
        state.fanout.timings.connected(leaf, event.took_s)
    return []


def _connection_dropped(state: EdgeState, event: ev.ConnectionDropped, now: float) -> list[Effect]:
    leaf = state.fleet.leaves.get(event.leaf)
    if leaf is not None:
        leaf.doubt(now)
    return []


def _probe_ended(state: EdgeState, event: ev.ProbeEnded, now: float) -> list[Effect]:
    health = event.health
    leaf = state.fleet.leaves.get(event.leaf)
    busy_s = event.busy_s if state.fanout.room.is_on else 0.0
    if leaf is not None and leaf.host_pace is not None and not state.fanout.room.is_on:
        # A node that is late itself reads answers late, which must not make the leaf look slow.
        late_s = PROBE_STEPS * state.fanout.loop_lag.lag_s(now)
        health = health._replace(work_s=max(0.0, health.work_s - late_s))
    apply_probe_result(state.fleet, event.leaf, health, now, busy_s)
    return []


def _table_seen(state: EdgeState, event: ev.TableSeen, now: float) -> list[Effect]:
    before = state.current_table.table
    if before is None or event.table.version >= before.version:
        state.keys_hidden = False
    if not state.current_table.offer(event.table):
        return []
    state.connections_changed = True
    before_version = before.version if before is not None else 0
    table = event.table
    note = LogEvent(log.TableInForce(table.version, before_version, len(table.routes)))
    return [note, *_key_notes(table), *_start_pending(state, now)]


def _key_notes(table: RoutingTable) -> list[Effect]:
    """Return the log events of the keys and teams of a table that can't be used."""
    if table.keys is None:
        return []
    unusable: list[Effect] = [
        LogEvent(log.KeyUnusable(key.fingerprint, key.teams, key.reason))
        for key in table.keys.unusable[: log.MAX_LOGGED_KEYS]
    ]
    unreadable = [LogEvent(log.TeamUnreadable(text)) for text in table.keys.unreadable]
    return [*unusable, *unreadable[: log.MAX_LOGGED_KEYS]]


def _leaves_listed(state: EdgeState, event: ev.LeavesListed, now: float) -> list[Effect]:
    for leaf in state.fleet.apply_listing(event.entries, now):
        state.schedule_initial_probe(leaf, now)
    state.fleet.sweep(now)
    state.connections_changed = True
    return [LogEvent(log.LeavesListed(len(event.entries))), *_start_pending(state, now)]


def _leaf_changed(state: EdgeState, event: ev.LeafChanged, now: float) -> list[Effect]:
    entry = event.entry
    known = state.fleet.leaves.get(entry.leaf)
    was_draining = known is not None and known.entry.draining
    started = state.fleet.apply_entry(entry, now)
    state.connections_changed = True
    if started is not None:
        state.schedule_initial_probe(started, now)
        cold_s = entry.cold_left_s
        started_event = log.LeafStarted(
            entry.leaf, entry.service, entry.domain, entry.version, cold_s
        )
        return [LogEvent(started_event)]
    if entry.draining and not was_draining:
        return [LogEvent(log.LeafDraining(entry.leaf))]
    return []


def _leaf_removed(state: EdgeState, event: ev.LeafRemoved, now: float) -> list[Effect]:
    state.fleet.remove_entry(event.leaf, now)
    leaf = state.fleet.leaves.get(event.leaf)
    if leaf is None:
        return []
    keeps_s = round(max(0.0, leaf.drop_at - now), 3)
    return [LogEvent(log.LeafUnlisted(event.leaf, keeps_s)), *_sweep(state, now)]


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
    return [LogEvent(log.DomainsOut(tuple(sorted(domains))))]


def _member_seen(state: EdgeState, event: ev.MemberSeen, now: float) -> list[Effect]:
    effects = _set_members(state, {**state.members, event.member.node: event.member}, now)
    snapshot = state.crashes.full_snapshot(now)
    if snapshot is not None and is_nearby(state, event.member):
        effects.append(SendCrashes((event.member,), snapshot))
    return effects


def _member_gone(state: EdgeState, event: ev.MemberGone, now: float) -> list[Effect]:
    members = {name: member for name, member in state.members.items() if name != event.node}
    return _set_members(state, members, now)


def _members_listed(state: EdgeState, event: ev.MembersListed, now: float) -> list[Effect]:
    return _set_members(state, {member.node: member for member in event.members}, now)


def _set_members(state: EdgeState, members: dict[str, Member], now: float) -> list[Effect]:
    if members == state.members:
        return []
    own_entry_gone = state.me.node in state.members and state.me.node not in members
    state.set_members(members, now)
    place = tree_position(state.me.node, state.me.domain, members.values(), state.me.region_of)
    state.connections_changed = True
    follows = tuple(member.node for member in place.follow)
    effects: list[Effect] = [
        LogEvent(log.MembersChanged(len(members), follows, place.store_at)),
        SetTreePosition(place),
    ]
    return [*effects, OwnEntryGone()] if own_entry_gone else effects


def _roster_listed(state: EdgeState, event: ev.RosterListed, now: float) -> list[Effect]:
    state.roster.listed(event.nodes, now)
    return []


def _roster_changed(state: EdgeState, event: ev.RosterChanged, now: float) -> list[Effect]:
    if event.listed:
        state.roster.seen(event.node)
        return []
    state.roster.gone(event.node, now)
    return [OwnEntryGone()] if event.node == state.me.node else []


def _enrolled(state: EdgeState, event: ev.Enrolled, now: float) -> list[Effect]:
    state.roster.enrolled(event.enrolment, now)
    state.budget.has_reserve = event.enrolment.has_reserve
    return []


def _review_shares(state: EdgeState, now: float) -> list[Effect]:
    """Bring this node's share up to date; remove nodes that are long gone from the roster."""
    nodes = state.sharing_nodes(now)
    state.budget.nodes = len(nodes) or math.inf
    effects: list[Effect] = []
    shares = log.LimitShares(len(nodes), len(state.members), state.budget.has_reserve)
    if shares != state.logged_shares:
        state.logged_shares = shares
        effects.append(LogEvent(shares))
    if state.store_up:
        effects += [RemoveFromRoster(name) for name in state.roster.overdue(state.members, now)]
    else:
        state.roster.store_lost()
    return effects


def _duty_news(state: EdgeState, event: ev.DutyNews, now: float) -> list[Effect]:
    return [TellDuty(event.event)]


def _record_rejected(state: EdgeState, event: ev.RecordRejected, now: float) -> list[Effect]:
    state.keys_hidden = state.keys_hidden or event.hides_keys
    return [LogEvent(log.RecordRejected(event.key, event.reason))]


def _records_confirmed(state: EdgeState, event: ev.RecordsConfirmed, now: float) -> list[Effect]:
    if not state.keys_hidden:
        state.keys_confirmed_at = max(state.keys_confirmed_at, event.at)
    return []


def _store_lost(state: EdgeState, event: ev.StoreLost, now: float) -> list[Effect]:
    if not state.store_up:
        return _decline_pending(state)
    state.store_up = False
    state.store_lost_at = now
    return [LogEvent(log.StoreLost(event.reason, event.source, round(event.age_s, 2)))]


def _decline_pending(state: EdgeState) -> list[Effect]:
    """Decline the requests that wait for the node to load: the store is unreachable at its start."""
    if state.is_loaded():
        return []
    state.store_lost_at_start = True
    pending = state.pending_requests.take_all()
    return [decline_not_loaded(one.request) for one in pending]


def _store_back(state: EdgeState, event: ev.StoreBack, now: float) -> list[Effect]:
    state.fleet.outage_ended(now - event.outage_ended_s)
    state.registry_confirmed_at = now - event.age_s
    if state.store_up:
        return []
    state.store_up = True
    away_s = round(now - state.store_lost_at, 2) if state.store_lost_at is not None else 0.0
    return [LogEvent(log.StoreBack(event.source, away_s, event.revision))]


def _store_restored(state: EdgeState, event: ev.StoreRestored, now: float) -> list[Effect]:
    """The store's copy holds no leases: register again, and have lost records written again."""
    state.crashes.trials.store_restored(now)
    state.rollouts.store_restored(now)
    return [LogEvent(log.StoreRestored(event.era, event.lost)), OwnEntryGone()]


def _rules_changed(state: EdgeState, event: ev.RulesChanged, now: float) -> list[Effect]:
    state.set_rules(event.rules, event.region_of)
    return []


def _tick(state: EdgeState, event: ev.Tick, now: float) -> list[Effect]:
    state.fanout.loop_lag.record_lag(event.late_s, now)
    state.fanout.read_host(event.host, now)
    effects: list[Effect] = [*fanout.tick(state.fanout, now)]
    if state.fanout.room.is_on and state.fanout.backlog_s() > 0.0:
        state.fleet.probes.hold(now)
    effects += [ProbeLeaf(leaf) for leaf in due_probes(state.fleet, now)]
    if now < state.housekeeping_at:
        return effects
    state.housekeeping_at = now + HOUSEKEEPING_S
    effects += [
        decline_not_loaded(pending.request) for pending in state.pending_requests.take_overdue(now)
    ]
    effects += _review_shares(state, now)
    runs.record_open_runs(state.fanout, now)
    effects += _sweep(state, now)
    effects += _keep_connections(state, now)
    effects += [LogEvent(change) for change in state.fleet.take_availability_changes(now)]
    effects += [LogEvent(change) for change in state.fleet.take_limit_changes()]
    left = state.fanout.leavings.take_report(now)
    effects += [LogEvent(left)] if left is not None else []
    effects += [LogEvent(paused) for paused in state.fleet.take_newly_paused()]
    crashes = state.crashes.collect_crashes(state.fanout.overdue_at, now)
    effects += [LogEvent(found) for found in crashes]
    effects += delegating.end_overdue(state, now)
    effects += advance_trials(state, now)
    effects += send_messages(state, now)
    effects += advance_rollouts(state, now)
    return effects + advance_stop(state, now)


def _sweep(state: EdgeState, now: float) -> list[Effect]:
    dropped = state.fleet.sweep(now)
    if not dropped:
        return []
    state.connections_changed = True
    return [LogEvent(log.LeavesDropped(tuple(leaf.name for leaf in dropped)))]


def _keep_connections(state: EdgeState, now: float) -> list[Effect]:
    table = state.current_table.table
    if table is None:
        return []
    # A host that goes by its own room opens connections in advance only while nobody waits for it.
    has_callers = len(state.fanout.queries) + len(state.pending_requests) > 0
    is_pressed = state.fanout.room.is_on and has_callers
    if not state.connections_changed and (is_pressed or not state.warming_owed):
        return []
    state.connections_changed = False
    state.warming_owed = is_pressed
    used = table.services_in_use()
    kept = [
        state.connections(leaf, now)
        for leaf in state.fleet.leaves.values()
        if leaf.entry.service in used
    ]
    if is_pressed:
        kept = [connections._replace(warm=0) for connections in kept]
    for connections in kept:
        connections.leaf.connection_limit = connections.most
    return [KeepConnections(tuple(kept))]


_HANDLERS: dict[type[Any], Callable[[EdgeState, Any, float], list[Effect]]] = {
    ev.RequestArrived: _request_arrived,
    ev.CallerGone: _caller_gone,
    ev.DelegateEnded: _delegate_ended,
    ev.CallLeft: _call_left,
    ev.CallEnded: _call_ended,
    ev.Connected: _connected,
    ev.ConnectionDropped: _connection_dropped,
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
    ev.RosterListed: _roster_listed,
    ev.RosterChanged: _roster_changed,
    ev.Enrolled: _enrolled,
    ev.RolloutsListed: rollouts_listed,
    ev.RolloutOrdered: rollout_ordered,
    ev.RolloutCleared: rollout_cleared,
    ev.RolloutStatusSeen: rollout_status_seen,
    ev.RolloutEvidenceHeard: evidence_heard,
    ev.RolloutNewsHeard: news_heard,
    ev.HintsHeard: hints_heard,
    ev.CrashesHeard: crashes_heard,
    ev.LimitsHeard: limits_heard,
    ev.TrafficHeard: traffic_heard,
    ev.LeavingHeard: leaving_heard,
    ev.TrialSeen: trial_seen,
    ev.TrialRemoved: trial_removed,
    ev.TrialsListed: trials_listed,
    ev.TrialWritten: trial_written,
    ev.DutyNews: _duty_news,
    ev.RecordRejected: _record_rejected,
    ev.RecordsConfirmed: _records_confirmed,
    ev.StoreLost: _store_lost,
    ev.StoreBack: _store_back,
    ev.StoreRestored: _store_restored,
    ev.RulesChanged: _rules_changed,
    ev.StopAsked: stop_asked,
    ev.Tick: _tick,
}
