"""Faults found in a configuration document."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """One fault: `key` is its path in the document.

    `move_id` is the move at fault, `other_id` the move it conflicts with; empty if there is none.
    """

    key: str
    reason: str
    move_id: str = ""
    other_id: str = ""

    def __str__(self) -> str:
        return f"{self.key}: {self.reason}"
