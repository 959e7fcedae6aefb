"""Client for the calls of a node to one leaf, over persistent HTTP/1.1 connections."""

from __future__ import annotations

from cactussaddle_node.leafclient.client import LeafClient
from cactussaddle_node.leafclient.model import NO_HOOKS
from cactussaddle_node.leafclient.model import ConnectionHooks
from cactussaddle_node.leafclient.model import HealthError
from cactussaddle_node.leafclient.model import IdleEnd
from cactussaddle_node.leafclient.model import LeafHealth
from cactussaddle_node.leafclient.model import LeafReply
from cactussaddle_node.leafclient.model import LeafRequest
from cactussaddle_node.leafclient.model import ProbeResult
from cactussaddle_node.leafclient.model import ShardMap

__all__ = [
    "NO_HOOKS",
    "ConnectionHooks",
    "HealthError",
    "IdleEnd",
    "LeafClient",
    "LeafHealth",
    "LeafReply",
    "LeafRequest",
    "ProbeResult",
    "ShardMap",
]
