"""Soft state shared by all nodes: the newest entry wins; it is pushed in rounds and repaired by digests."""

from __future__ import annotations

from cactussaddle_core.gossip.gossip import Gossip
from cactussaddle_core.gossip.model import Changed
from cactussaddle_core.gossip.model import FetchConfig
from cactussaddle_core.gossip.model import FetchPlacement
from cactussaddle_core.gossip.model import GossipMessage
from cactussaddle_core.gossip.model import Item
from cactussaddle_core.gossip.model import Received
from cactussaddle_core.gossip.model import Send
from cactussaddle_core.gossip.model import Stamp

__all__ = [
    "Changed",
    "FetchConfig",
    "FetchPlacement",
    "Gossip",
    "GossipMessage",
    "Item",
    "Received",
    "Send",
    "Stamp",
]
