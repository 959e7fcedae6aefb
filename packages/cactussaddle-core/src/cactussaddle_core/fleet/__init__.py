"""Per-node state of all leaves: their registry entries and their observed health."""

from __future__ import annotations
