"""Detects requests that crash leaves, shares them with all nodes and holds them."""

from __future__ import annotations

from cactussaddle_core.hold.messages import KnownCrash
from cactussaddle_core.hold.messages import KnownSuspect
from cactussaddle_core.hold.messages import SuspectsReply
from cactussaddle_core.hold.messages import SuspectsRequest
from cactussaddle_core.hold.table import Clearance
from cactussaddle_core.hold.table import Crash
from cactussaddle_core.hold.table import HoldSnapshot
from cactussaddle_core.hold.table import HoldTable
from cactussaddle_core.hold.table import Strike
from cactussaddle_core.hold.table import Verdict
from cactussaddle_core.hold.table import trial_leaf

__all__ = [
    "Clearance",
    "Crash",
    "HoldSnapshot",
    "HoldTable",
    "KnownCrash",
    "KnownSuspect",
    "Strike",
    "SuspectsReply",
    "SuspectsRequest",
    "Verdict",
    "trial_leaf",
]
