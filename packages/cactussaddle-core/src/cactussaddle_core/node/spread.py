"""Gossip entries of a node: its settled epoch and the statuses of its leaves."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from cactussaddle_core.calls import LeafStatus
from cactussaddle_core.node.effects import SendPeer

if TYPE_CHECKING:
    from cactussaddle_core.node.state import NodeState


SETTLED_KEY = "settled"
LEAF_PREFIX = "leaf/"


class SettledEpoch(NamedTuple):
    """A node's statement that it uses no slots granted by a placement older than `epoch`."""

    incarnation: int
    epoch: int
    address: str


_status_decoder = msgspec.msgpack.Decoder(LeafStatus)
_settled_decoder = msgspec.msgpack.Decoder(SettledEpoch)


def put_settled(state: NodeState, now: float) -> list[Any]:
    """Publish this node's settled epoch by gossip."""
    epoch = state.slots.settled_epoch(now)
    settled = SettledEpoch(state.me.incarnation, epoch, state.me.address)
    return put(state, SETTLED_KEY, msgspec.msgpack.encode(settled), now, urgent=True)


def read_settled(value: bytes) -> SettledEpoch:
    """Decode a settled epoch entry."""
    return _settled_decoder.decode(value)


def put_status(state: NodeState, status: LeafStatus, now: float) -> list[Any]:
    """Publish the status of a leaf that this node runs calls on."""
    key = LEAF_PREFIX + status.leaf
    encoded = state.gossip.get(state.me.node, key)
    old = None if encoded is None else _status_decoder.decode(encoded)
    urgent = old is None or _is_urgent_change(old, status)
    effects = put(state, key, msgspec.msgpack.encode(status), now, urgent=urgent)
    status_received(state, state.me.node, msgspec.msgpack.encode(status))
    return effects


def status_received(state: NodeState, origin: str, value: bytes) -> None:
    """Apply the status of a leaf if it comes from the node that runs calls on the leaf."""
    status = _status_decoder.decode(value)
    if origin != state.node_for(status.leaf):
        return
    apply_status(state, status)


def refresh_statuses(state: NodeState) -> None:
    """Apply the status of each leaf again, from its present owner, after owners have changed."""
    for leaf in state.leaves:
        value = state.gossip.get(state.node_for(leaf), LEAF_PREFIX + leaf)
        if value is None:
            continue
        with suppress(msgspec.MsgspecError, RecursionError):
            apply_status(state, _status_decoder.decode(value))


def apply_status(state: NodeState, status: LeafStatus) -> None:
    """Update the queries' view of a leaf from its status."""
    state.statuses[status.leaf] = status
    state.queries.view.set_snapshots(status.leaf, status.incarnation, status.snapshots)
    view = state.queries.view.leaves.get(status.leaf)
    if view is not None:
        view.limit = status.limit


def _is_urgent_change(old: LeafStatus, new: LeafStatus) -> bool:
    same = (old.incarnation, old.snapshots) == (new.incarnation, new.snapshots)
    return not same or (old.limit > 0) != (new.limit > 0)


def put(state: NodeState, key: str, value: bytes, now: float, *, urgent: bool) -> list[Any]:
    """Set one of this node's gossip entries and return the messages to send at once."""
    sends = state.gossip.put(key, value, now, urgent=urgent)
    return [SendPeer(send.to, send.message) for send in sends]
