"""At most one run for each idempotency key of a non-idempotent request."""

from __future__ import annotations

from cactussaddle_core.once.book import OnceBook
from cactussaddle_core.once.effects import Answer
from cactussaddle_core.once.effects import AskPeer
from cactussaddle_core.once.effects import Dispatch
from cactussaddle_core.once.effects import Effect
from cactussaddle_core.once.effects import RecordWrite
from cactussaddle_core.once.effects import ReplyAttempt
from cactussaddle_core.once.effects import WriteIntents
from cactussaddle_core.once.effects import WriteOutcomes
from cactussaddle_core.once.events import AttemptAsked
from cactussaddle_core.once.events import AttemptState
from cactussaddle_core.once.events import Event
from cactussaddle_core.once.events import IntentsWritten
from cactussaddle_core.once.events import LeafAnswered
from cactussaddle_core.once.events import LeafOutcome
from cactussaddle_core.once.events import OutcomesWritten
from cactussaddle_core.once.events import PeerAttemptReply
from cactussaddle_core.once.events import StoreStatus
from cactussaddle_core.once.events import Submitted
from cactussaddle_core.once.events import Tick
from cactussaddle_core.once.events import WriteResult
from cactussaddle_core.once.reducer import reduce

__all__ = [
    "Answer",
    "AskPeer",
    "AttemptAsked",
    "AttemptState",
    "Dispatch",
    "Effect",
    "Event",
    "IntentsWritten",
    "LeafAnswered",
    "LeafOutcome",
    "OnceBook",
    "OutcomesWritten",
    "PeerAttemptReply",
    "RecordWrite",
    "ReplyAttempt",
    "StoreStatus",
    "Submitted",
    "Tick",
    "WriteIntents",
    "WriteOutcomes",
    "WriteResult",
    "reduce",
]
