"""The state and the reducer of a node that sends callers' requests directly to leaves."""

from __future__ import annotations
