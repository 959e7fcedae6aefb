"""The part of a leaf that a node may count on for limits other than its slots."""

from __future__ import annotations

import enum

from cactussaddle_core.slots.model import half_size


class Share(enum.Enum):
    """Which part of a leaf's capacity a node may use."""

    NONE = "none"
    SMALLER = "smaller"
    LARGER = "larger"
    WHOLE = "whole"

    def of(self, total: int) -> int:
        """Return this share of `total`."""
        if self is Share.NONE:
            return 0
        if self is Share.WHOLE:
            return total
        return half_size(total, 0 if self is Share.LARGER else 1)
