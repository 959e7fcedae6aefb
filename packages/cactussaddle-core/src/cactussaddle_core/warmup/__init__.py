"""Concurrency limits of leaves, adapted to the results of their calls."""

from __future__ import annotations

from cactussaddle_core.warmup.limit import Health
from cactussaddle_core.warmup.limit import LeafHealth
from cactussaddle_core.warmup.limit import LeafLimit

__all__ = ["Health", "LeafHealth", "LeafLimit"]
