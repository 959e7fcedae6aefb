"""Messages between nodes about leaves, crashes and traffic; delivery is not guaranteed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.effects import LogEvent
from cactussaddle_core.edge.effects import SendCrashes
from cactussaddle_core.edge.effects import SendHints
from cactussaddle_core.edge.effects import SendLeaving
from cactussaddle_core.edge.effects import SendLimits
from cactussaddle_core.edge.effects import SendTraffic
from cactussaddle_core.fleet.applyhints import apply_hints

if TYPE_CHECKING:
    from cactussaddle_core.edge import events as ev
    from cactussaddle_core.edge.effects import Effect
    from cactussaddle_core.edge.state import EdgeState
    from cactussaddle_core.spread.model import Member


def send_messages(state: EdgeState, now: float) -> list[Effect]:
    """Return the messages to other nodes that are due."""
    return [
        *_send_hints(state),
        *_send_limits(state, now),
        *_send_leaving(state),
        *_send_crashes(state, now),
    ]


def _send_hints(state: EdgeState) -> list[Effect]:
    hints = state.fleet.hints.take()
    near = _members_nearby(state) if hints else ()
    return [SendHints(near, hints)] if near else []


def _send_limits(state: EdgeState, now: float) -> list[Effect]:
    """Tell nearby nodes the limits that leaves have named, and all nodes this one's traffic."""
    state.fleet.expire_limits(now)
    effects: list[Effect] = []
    notes = state.fleet.take_limit_notes()
    near = _members_nearby(state) if notes else ()
    if near:
        effects.append(SendLimits(near, notes))
    report = state.traffic.due_report(bool(state.fleet.limited), now)
    others = _other_members(state) if report is not None else ()
    if report is not None and others:
        effects.append(SendTraffic(others, report))
    return effects


def _send_leaving(state: EdgeState) -> list[Effect]:
    """Log the leaves that say that they are leaving, and tell nearby nodes."""
    effects: list[Effect] = [
        LogEvent(log.LeafDraining(name)) for name in state.fleet.take_newly_leaving()
    ]
    notes = state.fleet.take_leaving_notes()
    near = _members_nearby(state) if notes else ()
    return [*effects, SendLeaving(near, notes)] if near else effects


def _other_members(state: EdgeState) -> tuple[Member, ...]:
    return tuple(member for member in state.members.values() if member.node != state.me.node)


def _members_nearby(state: EdgeState) -> tuple[Member, ...]:
    return tuple(member for member in state.members.values() if is_nearby(state, member))


def _members_of_other_regions(state: EdgeState) -> tuple[Member, ...]:
    return tuple(member for member in _other_members(state) if not is_nearby(state, member))


def is_nearby(state: EdgeState, member: Member) -> bool:
    """Return whether a member is another node of this node's region."""
    region_of = state.me.region_of
    is_same_region = region_of.get(member.domain) == region_of.get(state.me.domain)
    return is_same_region and member.node != state.me.node


def _send_crashes(state: EdgeState, now: float) -> list[Effect]:
    """Send nearby nodes all crash reports, and the nodes of other regions the most suspect ones."""
    effects: list[Effect] = []
    snapshot = state.crashes.next_broadcast(now)
    near = _members_nearby(state) if snapshot is not None else ()
    if snapshot is not None and near:
        effects.append(SendCrashes(near, snapshot))
    report = state.crashes.next_report()
    far = _members_of_other_regions(state) if report is not None else ()
    if report is not None and far:
        effects.append(SendCrashes(far, report))
    return effects


def crashes_heard(state: EdgeState, event: ev.CrashesHeard, now: float) -> list[Effect]:
    """Merge another node's reports of crashes."""
    learned = state.crashes.merge(event.snapshot, now)
    return [LogEvent(learned)] if learned is not None else []


def limits_heard(state: EdgeState, event: ev.LimitsHeard, now: float) -> list[Effect]:
    """Apply the limits of leaves that another node was told."""
    for note in event.notes:
        state.fleet.limit_heard(note, now)
    return []


def leaving_heard(state: EdgeState, event: ev.LeavingHeard, now: float) -> list[Effect]:
    """Apply the leaving leaves that another node was told."""
    for note in event.notes:
        state.fleet.leaving_heard(note)
    return []


def traffic_heard(state: EdgeState, event: ev.TrafficHeard, now: float) -> list[Effect]:
    """Apply another node's rate of requests."""
    state.traffic.heard(event.report, now)
    return []


def hints_heard(state: EdgeState, event: ev.HintsHeard, now: float) -> list[Effect]:
    """Apply another node's hints."""
    apply_hints(state.fleet, event.hints, state.fanout.rng, state.checking_nodes(), now)
    return []
