"""Applies stored documents and the host list on a node, and serves documents to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactussaddle_core.config.delta import ConfigDelta
from cactussaddle_core.config.delta import config_doc
from cactussaddle_core.config.delta import diff_config
from cactussaddle_core.config.delta import patch_config
from cactussaddle_core.config.model import build_config
from cactussaddle_core.config.model import decode_doc
from cactussaddle_core.config.model import encode_doc
from cactussaddle_core.exceptions import ConfigError
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.node import cluster
from cactussaddle_core.node import limits
from cactussaddle_core.node import placing
from cactussaddle_core.node import planned
from cactussaddle_core.node.deltalog import CONFIG_DELTA
from cactussaddle_core.node.deltalog import PLACEMENT_DELTA
from cactussaddle_core.node.effects import Log
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.wire import DocReply
from cactussaddle_core.wire import DocRequest

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Config
    from cactussaddle_core.node.events import HostsSeen
    from cactussaddle_core.node.events import PeerMessage
    from cactussaddle_core.node.state import NodeState


CONFIG = "config"
PLACEMENT = placing.PLACEMENT


def doc_seen(state: NodeState, event: DocSeen, now: float, wall: float) -> list[Any]:
    """Bring a document into force if it is newer than the one in force."""
    try:
        if event.name == PLACEMENT:
            return placing.apply(state, event.data, event.source, now)
        if event.name == PLACEMENT_DELTA:
            return placing.apply_delta(state, event.data, event.source, now)
        if event.name == CONFIG_DELTA:
            return _config_delta(state, event, now, wall)
        cfg = build_config(decode_doc(event.data))
    except (ConfigError, msgspec.MsgspecError, RecursionError) as exc:
        fields = {"name": event.name, "reason": str(exc), "source": event.source}
        return [Log("error", "document_malformed", fields)]
    if not is_newer(cfg, state):
        return []
    delta = diff_config(state.cfg, cfg)
    state.config_deltas.keep(delta.base, delta.revision, msgspec.msgpack.encode(delta))
    return _apply_config(state, cfg, event, now, wall)


def _config_delta(state: NodeState, event: DocSeen, now: float, wall: float) -> list[Any]:
    """Bring a configuration into force from a delta to the one in force.

    A delta that starts from another revision is dropped; the next message that announces a newer
    revision makes this node request it again. If the result differs from the sender's
    configuration, the full document is requested.
    """
    delta = msgspec.msgpack.decode(event.data, type=ConfigDelta)
    if delta.base != state.cfg.revision:
        return []
    cfg = patch_config(state.cfg, delta)
    if cfg is None:
        fields = {"revision": delta.revision, "source": event.source}
        full_request = SendPeer(event.source, DocRequest(CONFIG, 0))
        return [Log("warning", "config_delta_misfit", fields), full_request]
    if not is_newer(cfg, state):
        return []
    state.config_deltas.keep(delta.base, delta.revision, event.data)
    return _apply_config(state, cfg, event, now, wall)


def is_newer(cfg: Config, state: NodeState) -> bool:
    """Return whether a configuration is newer than the one in force."""
    return cfg.revision > state.cfg.revision


def doc_requested(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Send a peer the requested document if this node's is newer."""
    request = event.message
    if request.name == PLACEMENT:
        return [SendPeer(event.sender, reply) for reply in placing.answers(state, request.revision)]
    if state.cfg.revision <= request.revision:
        return []
    replies = state.config_deltas.replies(request.revision) or [_full_config(state)]
    return [SendPeer(event.sender, reply) for reply in replies]


def _full_config(state: NodeState) -> DocReply:
    return DocReply(CONFIG, state.cfg.revision, encode_doc(config_doc(state.cfg)))


def doc_replied(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Handle a document or delta that a peer sent."""
    reply = event.message
    return doc_seen(state, DocSeen(reply.name, reply.data, event.sender), now, wall)


def hosts_seen(state: NodeState, event: HostsSeen, now: float, wall: float) -> list[Any]:
    """Apply a new host list; hosts that are no longer in it are removed."""
    entries = {entry.name: entry for entry in event.entries}
    dropped = state.hosts.keys() - entries.keys()
    state.hosts = entries
    state.members.seeds(entry.address for entry in event.entries)
    effects: list[Any] = []
    for name in sorted(dropped):
        state.slots.host_gone(name, now)
        effects += cluster.host_dropped(state, name, now)
        state.planning = state.planning._replace(dirty=True)
        effects.append(Log("info", "host_dropped", {"host": name}))
    return effects


def _apply_config(
    state: NodeState, cfg: Config, event: DocSeen, now: float, wall: float
) -> list[Any]:
    require(
        cfg.revision > state.cfg.revision,
        Promise.NO_REVERT,
        f"configuration {cfg.revision} after {state.cfg.revision}",
    )
    state.cfg = cfg
    effects = planned.config_applied(state, now, wall)
    planned.refresh(state, now, wall)
    limits.reconfigure(state)
    state.queries.view.apply_leaves(
        (leaf["name"], leaf["service"]) for leaf in state.leaves.values()
    )
    fields = {"revision": cfg.revision, "change_id": cfg.change_id, "source": event.source}
    effects.append(Log("info", "config_in_force", fields))
    return effects + placing.take_over(state, state.slots.placement, event.source, now)
