"""Leaf calls at the node that holds the leaf's slots: queue, dispatch, refusal."""

from __future__ import annotations
