"""Access of callers: the key that a request carries, its team, and whether the key can be trusted."""

from __future__ import annotations
