"""How what the store holds spreads over the nodes: few read the store, the others one another."""

from __future__ import annotations
