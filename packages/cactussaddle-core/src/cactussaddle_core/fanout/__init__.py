"""Fans a caller's request out to one leaf of each required service and merges the replies."""

from __future__ import annotations
