"""The reducer of planned moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.hashing import unit_interval
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.moves.domains import NO_NEW_WORK_S
from cactussaddle_core.moves.events import ConfigApplied
from cactussaddle_core.moves.events import FinalRecorded
from cactussaddle_core.moves.events import LocalComplete
from cactussaddle_core.moves.events import Members
from cactussaddle_core.moves.events import OutcomeSeen
from cactussaddle_core.moves.events import PeerEvidence
from cactussaddle_core.moves.events import PeerLatch
from cactussaddle_core.moves.events import PutEvidence
from cactussaddle_core.moves.events import PutLatch
from cactussaddle_core.moves.events import RecordFinal
from cactussaddle_core.moves.events import Tick
from cactussaddle_core.moves.evidence import ColdStart
from cactussaddle_core.moves.evidence import Evidence
from cactussaddle_core.moves.evidence import Outcome
from cactussaddle_core.moves.evidence import RouteEvidence
from cactussaddle_core.moves.evidence import RouteEvidenceTable
from cactussaddle_core.moves.evidence import decode_evidence
from cactussaddle_core.moves.evidence import encode_within
from cactussaddle_core.moves.evidence import slow_limit_s
from cactussaddle_core.moves.pool import MovePool
from cactussaddle_core.moves.table import SYNC_WAIT_S
from cactussaddle_core.moves.table import Latch
from cactussaddle_core.moves.versions import FULL_SHARE
from cactussaddle_core.moves.versions import settle_s

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Move
    from cactussaddle_core.moves.events import Effect
    from cactussaddle_core.moves.events import Event
    from cactussaddle_core.moves.table import MoveTable

TICK_S = 0.1
PUT_INTERVAL_S = 1.0
URGENT_PUT_INTERVAL_S = 0.2
RECORD_SPREAD_S = 1.0
RECORD_RETRY_S = 3.0
FINISH_GRACE_S = 0.5
MAX_COLD_S = 20.0
COLD_FRACTION = 0.3


def reduce(state: MoveTable, event: Event, now: float, wall: float) -> list[Effect]:
    """Apply one event and return its effects, in the order in which to execute them."""
    effects: list[Effect] = []
    match event:
        case OutcomeSeen():
            _on_outcome(state, event, now)
        case PeerEvidence():
            state.synced = True
            _apply_evidence(state, decode_evidence(event.data), now)
        case PeerLatch():
            _on_peer_latch(state, event, now, effects)
        case FinalRecorded():
            _on_final(state, event)
        case ConfigApplied():
            _on_config(state, event, now)
        case Members():
            _on_members(state, event)
        case LocalComplete():
            _on_local_complete(state, event)
        case Tick():
            _on_tick(state, now, wall, effects)
    return effects


def _on_config(state: MoveTable, event: ConfigApplied, now: float) -> None:
    state.cfg = event.cfg
    if state.sync_until is None:
        state.sync_until = now + SYNC_WAIT_S
    known = event.cfg.moves
    for key in [key for key in state.own if key[0] not in known]:
        del state.own[key]
    for key in [key for key in state.cold_starts if key[0] not in known]:
        del state.cold_starts[key]
    for by_move in (state.pools, state.full_since, state.record_at):
        for name in [name for name in by_move if name not in known]:
            del by_move[name]
    for move in known.values():
        if move["kind"] == MoveKind.VERSION:
            state.pools.setdefault(move["id"], MovePool(pace=state.pace))


def _on_outcome(state: MoveTable, event: OutcomeSeen, now: float) -> None:
    move = state.cfg.moves.get(event.move)
    if move is None or event.move in state.finals:
        return
    evidence = state.own.setdefault((event.move, event.route), RouteEvidenceTable(now=now))
    limit_s = _slow_limit_s(state, evidence, event)
    outcome = Outcome(event.ok, event.latency_s, _cold_factor(state, move, event, now))
    if event.version == move.get("version"):
        evidence.add_new(event.leaf, outcome, limit_s)
    else:
        evidence.add_old(outcome, limit_s, now)


def _cold_factor(state: MoveTable, move: Move, event: OutcomeSeen, now: float) -> float:
    """Return the factor by which a cold start may slow a call down.

    A leaf that is considered warm by its number of calls may still need time to warm up.
    """
    key = (event.move, event.leaf)
    start = state.cold_starts.get(key)
    if not event.cold and (start is None or not event.ok):
        return 1.0
    if start is None:
        start = ColdStart(now, 0)
    state.cold_starts[key] = start._replace(calls=start.calls + 1)
    return start.cold_factor(min(MAX_COLD_S, COLD_FRACTION * (move["finish"] - move["start"])), now)


def _slow_limit_s(state: MoveTable, evidence: RouteEvidenceTable, event: OutcomeSeen) -> float:
    """Return this node's latency limit, or the pooled one while there are too few samples.

    The limit is never below the first one computed, since the old version gets less load, and so
    answers faster, as the move goes on.
    """
    limit_s = slow_limit_s(evidence.sketch.counts())
    if limit_s and not evidence.initial_limit_s:
        evidence.initial_limit_s = limit_s
    if not limit_s:
        limit_s = state.pools[event.move].route(event.route).limit_s() or event.limit_s
    return max(limit_s, evidence.initial_limit_s)


def _apply_evidence(state: MoveTable, evidence: Evidence, now: float) -> None:
    last = state.snapshots.get(evidence.node)
    if last is not None and last.incarnation != evidence.incarnation:
        last = None
    before = {(r.move, r.route): r for r in last.routes} if last is not None else {}
    if any(_is_older(entry, before.get((entry.move, entry.route))) for entry in evidence.routes):
        return
    kept = {**before, **{(r.move, r.route): r for r in evidence.routes}}
    state.snapshots[evidence.node] = evidence._replace(routes=tuple(kept.values()))
    for entry in evidence.routes:
        pool = state.pools.get(entry.move)
        if pool is not None:
            known = before.get((entry.move, entry.route))
            pool.route(entry.route).add_snapshot(evidence.node, known, entry, now)


def _is_older(entry: RouteEvidence, known: RouteEvidence | None) -> bool:
    if known is None:
        return False
    new = {leaf.leaf: leaf.counts for leaf in entry.new}
    return min(entry.old.minus(known.old)) < 0 or any(
        leaf.leaf not in new or min(new[leaf.leaf].minus(leaf.counts)) < 0 for leaf in known.new
    )


def _on_peer_latch(state: MoveTable, event: PeerLatch, now: float, effects: list[Effect]) -> None:
    state.synced = True
    latches = msgspec.msgpack.decode(event.data, type=tuple[Latch, ...])
    unknown = [latch for latch in latches if latch.move not in state.latches]
    for latch in unknown:
        _latch(state, latch, now)
    if unknown:
        effects.append(_put_latches(state))


def _latch(state: MoveTable, latch: Latch, now: float) -> None:
    state.latches[latch.move] = latch
    state.latched_at[latch.move] = now
    state.ready.discard(latch.move)


def _put_latches(state: MoveTable) -> PutLatch:
    """Send all latches of the plan's moves, so that they outlive the node that set them."""
    current = [latch for name, latch in state.latches.items() if name in state.cfg.moves]
    return PutLatch(msgspec.msgpack.encode(current))


def _on_final(state: MoveTable, event: FinalRecorded) -> None:
    known = state.finals.setdefault(event.move, event.state)
    require(
        known is event.state,
        Promise.MOVE_FINAL,
        f"move {event.move} is already final as {known}, but was recorded as {event.state}",
    )


def _on_members(state: MoveTable, event: Members) -> None:
    state.members = event.nodes
    for name in [name for name in state.snapshots if name not in {*event.nodes, state.node}]:
        del state.snapshots[name]


def _on_local_complete(state: MoveTable, event: LocalComplete) -> None:
    if event.complete:
        state.complete.add(event.move)
    else:
        state.complete.discard(event.move)


def _on_tick(state: MoveTable, now: float, wall: float, effects: list[Effect]) -> None:
    if state.sync_until is not None and now >= state.sync_until:
        state.synced = True
    _apply_evidence(state, _own_evidence(state), now)
    for move in state.cfg.moves.values():
        if move["id"] in state.finals or wall < move["start"]:
            continue
        if move["kind"] == MoveKind.VERSION:
            _evaluate_version(state, move, now, wall, effects)
        _record_when_due(state, move, now, wall, effects)
    _put_when_due(state, now, effects)


def _own_evidence(state: MoveTable) -> Evidence:
    routes = tuple(
        evidence.snapshot(move, route)
        for (move, route), evidence in sorted(state.own.items())
        if move not in state.finals
    )
    ready = tuple(sorted(state.ready))
    return Evidence(state.node, state.incarnation, routes, ready, tuple(sorted(state.complete)))


def _evaluate_version(
    state: MoveTable, move: Move, now: float, wall: float, effects: list[Effect]
) -> None:
    """Latch a bad version; record since when the new version has had all traffic."""
    name = move["id"]
    pool = state.pools[name]
    bad_reason = pool.run_tests(now)
    if name in state.latches:
        return
    if bad_reason:
        _latch(state, Latch(name, bad_reason, state.node, wall), now)
        effects.append(_put_latches(state))
        return
    if wall >= move["finish"]:
        return
    pool.hold(state.share_of(move, wall))
    if state.share_of(move, wall) < FULL_SHARE:
        state.full_since.pop(name, None)
        return
    since = state.full_since.setdefault(name, now)
    if now - since >= settle_s(move):
        state.ready.add(name)


def _record_when_due(
    state: MoveTable, move: Move, now: float, wall: float, effects: list[Effect]
) -> None:
    proposal = _proposal(state, move, wall)
    if proposal is None:
        return
    spread_s = RECORD_SPREAD_S * unit_interval(move["id"], state.node)
    due = state.record_at.setdefault(move["id"], now + spread_s)
    if now >= due:
        state.record_at[move["id"]] = now + RECORD_RETRY_S + spread_s
        effects.append(proposal)


def _proposal(state: MoveTable, move: Move, wall: float) -> RecordFinal | None:
    """Return the final state that this node would record now, None if undecided."""
    name = move["id"]
    latch = state.latches.get(name)
    if latch is not None:
        reason = f"the new version {latch.reason}"
        return RecordFinal(name, MoveState.TAKEN_BACK, reason)
    missing = _nodes_not_done(state, move)
    if not missing and wall >= move["start"] + NO_NEW_WORK_S:
        return RecordFinal(name, MoveState.DONE, "done in time")
    if wall >= move["finish"] + FINISH_GRACE_S:
        reason = f"not done by its finish on {', '.join(missing[:5])}"
        return RecordFinal(name, MoveState.TAKEN_BACK, reason)
    return None


def _nodes_not_done(state: MoveTable, move: Move) -> list[str]:
    """Return the live nodes that have not reported a move as done.

    A version move needs only half of the nodes, since each of them evaluates the pooled evidence
    of all nodes.
    """
    is_version = move["kind"] == MoveKind.VERSION
    members = set(state.members) | {state.node}
    done = {
        peer.node
        for peer in state.snapshots.values()
        if move["id"] in (peer.ready if is_version else peer.complete)
    }
    missing = sorted(members - done)
    if is_version and 2 * len(missing) <= len(members):
        return []
    return missing


def _put_when_due(state: MoveTable, now: float, effects: list[Effect]) -> None:
    evidence = _own_evidence(state)
    is_new = evidence != state.last_put
    is_due = is_new or (state.repeats_evidence and _has_content(evidence))
    if not is_due or now < state.last_put_at + URGENT_PUT_INTERVAL_S:
        return
    urgent = is_new and any(pool.suspicious() for pool in state.pools.values())
    urgent = urgent or _has_new_faults(evidence, state.last_put)
    if urgent or now >= state.last_put_at + PUT_INTERVAL_S:
        state.last_put = evidence
        state.last_put_at = now
        state.puts += 1
        effects.append(PutEvidence(encode_within(evidence, state.puts), urgent))


def _has_content(evidence: Evidence) -> bool:
    return bool(evidence.routes or evidence.ready or evidence.complete)


def _has_new_faults(evidence: Evidence, last: Evidence | None) -> bool:
    """Return whether calls to the new version failed or were slow since the last snapshot sent."""
    return _fault_count(evidence) > (_fault_count(last) if last is not None else 0)


def _fault_count(evidence: Evidence) -> int:
    return sum(
        leaf.counts.failures + leaf.counts.cold_failures + leaf.counts.slow // 2
        for route in evidence.routes
        for leaf in route.new
    )
