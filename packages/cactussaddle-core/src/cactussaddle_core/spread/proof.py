"""What an answer proves: the time at which the records that it brought were certainly current.

An answer that was lost or delayed must never make records look newer than they are. So the age of the
records is counted from the earliest time at which the source can have looked at them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.spread.timing import MAX_EARLY_S

if TYPE_CHECKING:
    from cactussaddle_core.spread.model import Batch


def proven_by_store(asked_at: float, wait_s: float, batch: Batch, now: float) -> float:
    """Return when the store certainly had no other records than those known after its answer.

    The request was sent at `asked_at` and waited up to `wait_s` for changes. Without changes the
    store looked at its records until the wait was over; with changes it may have answered early, and the
    answer may have been delayed since.
    """
    looked_until = min(now, asked_at + wait_s)
    is_early = looked_until < asked_at + wait_s - MAX_EARLY_S
    return asked_at if batch.records or batch.whole or is_early else looked_until


def proven_by_node(asked_at: float, batch: Batch, now: float) -> float:
    """Return when the records of another node's answer were certainly current.

    The answer left that node at the earliest when its wait was over; its age is as of then.
    """
    left_at = min(now, asked_at + batch.waited_s)
    return left_at - batch.age_s
