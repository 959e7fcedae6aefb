"""Placement of leaves on nodes, and the book of who may use a leaf's slots now."""

from __future__ import annotations

from cactussaddle_core.slots.book import SlotBook
from cactussaddle_core.slots.dump import LeafDump
from cactussaddle_core.slots.dump import dump_leaves
from cactussaddle_core.slots.messages import LeafHint
from cactussaddle_core.slots.messages import PairPing
from cactussaddle_core.slots.messages import PairPong
from cactussaddle_core.slots.messages import Send
from cactussaddle_core.slots.model import Entry
from cactussaddle_core.slots.model import LeafSite
from cactussaddle_core.slots.model import Member
from cactussaddle_core.slots.model import Pending
from cactussaddle_core.slots.model import Placement
from cactussaddle_core.slots.model import PlacementDelta
from cactussaddle_core.slots.model import Settled
from cactussaddle_core.slots.model import diff_placement
from cactussaddle_core.slots.model import empty_placement
from cactussaddle_core.slots.model import patch_placement
from cactussaddle_core.slots.placement import plan_placement
from cactussaddle_core.slots.placement import writer_delay_s
from cactussaddle_core.slots.share import Share

__all__ = [
    "Entry",
    "LeafDump",
    "LeafHint",
    "LeafSite",
    "Member",
    "PairPing",
    "PairPong",
    "Pending",
    "Placement",
    "PlacementDelta",
    "Send",
    "Settled",
    "Share",
    "SlotBook",
    "diff_placement",
    "dump_leaves",
    "empty_placement",
    "patch_placement",
    "plan_placement",
    "writer_delay_s",
]
