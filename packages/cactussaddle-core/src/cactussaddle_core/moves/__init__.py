"""Planned moves ordered by operators: failure domains, leaves and new versions."""

from __future__ import annotations

from cactussaddle_core.moves.domains import LeafState
from cactussaddle_core.moves.domains import leaf_state
from cactussaddle_core.moves.domains import planned_leaves
from cactussaddle_core.moves.domains import require_in_service
from cactussaddle_core.moves.events import ConfigApplied
from cactussaddle_core.moves.events import Effect
from cactussaddle_core.moves.events import Event
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
from cactussaddle_core.moves.reducer import TICK_S
from cactussaddle_core.moves.reducer import reduce
from cactussaddle_core.moves.table import Latch
from cactussaddle_core.moves.table import MoveTable

__all__ = [
    "TICK_S",
    "ConfigApplied",
    "Effect",
    "Event",
    "FinalRecorded",
    "Latch",
    "LeafState",
    "LocalComplete",
    "Members",
    "MoveTable",
    "OutcomeSeen",
    "PeerEvidence",
    "PeerLatch",
    "PutEvidence",
    "PutLatch",
    "RecordFinal",
    "Tick",
    "leaf_state",
    "planned_leaves",
    "reduce",
    "require_in_service",
]
