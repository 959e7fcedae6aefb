"""Node reducer: handles every event of a node and returns the effects to carry out."""

from __future__ import annotations
