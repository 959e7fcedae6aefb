"""Detects requests that crash leaves, shares them with all nodes and holds them."""

from __future__ import annotations

from cactussaddle_core.hold.book import Clearance
from cactussaddle_core.hold.book import Crash
from cactussaddle_core.hold.book import HoldBook
from cactussaddle_core.hold.book import HoldSnapshot
from cactussaddle_core.hold.book import Strike
from cactussaddle_core.hold.book import Verdict
from cactussaddle_core.hold.book import trial_leaf
from cactussaddle_core.hold.messages import KnownCrash
from cactussaddle_core.hold.messages import KnownSuspect
from cactussaddle_core.hold.messages import SuspectsReply
from cactussaddle_core.hold.messages import SuspectsRequest

__all__ = [
    "Clearance",
    "Crash",
    "HoldBook",
    "HoldSnapshot",
    "KnownCrash",
    "KnownSuspect",
    "Strike",
    "SuspectsReply",
    "SuspectsRequest",
    "Verdict",
    "trial_leaf",
]
