"""Strikes against requests that crash leaves: recorded by owners and sent to all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactussaddle_core.gossip.gossip import MAX_VALUE_BYTES
from cactussaddle_core.hashing import rendezvous
from cactussaddle_core.hold import HoldSnapshot
from cactussaddle_core.hold import SuspectsReply
from cactussaddle_core.hold import SuspectsRequest
from cactussaddle_core.hold import Verdict
from cactussaddle_core.node import spread
from cactussaddle_core.node.effects import SendPeer

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.node.events import PeerMessage
    from cactussaddle_core.node.state import NodeState


HOLD_KEY = "hold"
# A starting node requests the known suspects from this many peers, one after the other.
SUSPECTS_REQUESTS = 3
SUSPECTS_REQUEST_INTERVAL_S = 0.5

_decoder = msgspec.msgpack.Decoder(HoldSnapshot)


def name_of(fingerprint: int) -> str:
    """Return a fingerprint as 16 hexadecimal digits."""
    return f"{fingerprint:016x}"


def verdicts(state: NodeState, *, staged: bool) -> Callable[[int, float], Verdict]:
    """Return the function that decides whether a request may run.

    If `staged`, a request that is not known to complete successfully goes to one leaf first.
    """

    def verdict(fingerprint: int, now: float) -> Verdict:
        name = name_of(fingerprint)
        found = state.hold.verdict(name, now)
        if staged and found is Verdict.ALLOW and not state.hold.proven(name, now):
            return Verdict.TRY_FIRST
        return found

    return verdict


def is_held(state: NodeState, fingerprint: int, now: float) -> bool:
    """Return whether a request is held."""
    return state.hold.verdict(name_of(fingerprint), now) is Verdict.HOLD


def service_of(state: NodeState) -> Callable[[str], str]:
    """Return the function that maps a leaf's name to its service."""

    def find(leaf: str) -> str:
        entry = state.leaves.get(leaf)
        return "" if entry is None else entry["service"]

    return find


def crashed(state: NodeState, leaf: str, fingerprint: int, now: float) -> list[Any]:
    """Record that a call was cut off at a leaf, and the other calls running there as suspects."""
    running = state.owner.work(leaf).running.values()
    suspects = {name_of(item.call.fingerprint) for item in running} | {name_of(fingerprint)}
    limit = state.limits.get(leaf)
    state.hold.crashed(leaf, limit.incarnation if limit else "", suspects, now)
    return spread_strikes(state, now)


def succeeded(state: NodeState, leaf: str, fingerprint: int, now: float) -> list[Any]:
    """Record that a call completed successfully."""
    if state.hold.succeeded(name_of(fingerprint), leaf, now):
        return spread_strikes(state, now)
    return []


def tick(state: NodeState, now: float) -> list[Any]:
    """After a start, request all suspects from some peers; gossip covers present nodes only."""
    if state.suspects_requests_left <= 0 or now < state.suspects_request_at:
        return []
    peers = sorted(record.name for record in state.members.live())
    if not peers:
        return []
    state.suspects_request_at = now + SUSPECTS_REQUEST_INTERVAL_S
    state.suspects_requests_left -= 1
    order = rendezvous(f"{state.me.node}/{state.me.incarnation}", peers)
    return [
        SendPeer(
            order[state.suspects_requests_left % len(order)],
            SuspectsRequest(state.suspects_requests_left),
        )
    ]


def suspects_requested(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Send all suspects to a node that has just started."""
    return [SendPeer(event.sender, SuspectsReply(state.hold.known(now)))]


def suspects_received(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Record the suspects that a peer knows."""
    state.hold.learn(event.message.suspects, now)
    return []


def heard(state: NodeState, value: bytes, now: float) -> list[Any]:
    """Merge another node's strikes and clearances."""
    if state.hold.merge(_decoder.decode(value), now):
        return spread_strikes(state, now)
    return []


def spread_strikes(state: NodeState, now: float) -> list[Any]:
    """Send this node's newest strikes to all nodes at once, as many as fit into one entry."""
    snapshot = state.hold.snapshot(now)
    value = msgspec.msgpack.encode(snapshot)
    while len(value) > MAX_VALUE_BYTES:
        strikes, clearances = snapshot
        half = HoldSnapshot(strikes[(len(strikes) + 1) // 2 :], clearances[len(clearances) // 2 :])
        snapshot = half
        value = msgspec.msgpack.encode(snapshot)
    return spread.put(state, HOLD_KEY, value, now, urgent=True)
