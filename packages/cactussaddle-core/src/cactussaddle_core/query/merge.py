"""Merge of the leaves' hits into one ordered list."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterable


def merge_hits(parts: Iterable[list[dict[str, Any]]], limit: int) -> list[dict[str, Any]]:
    """Return the `limit` hits of highest `score`, each `id` once, ties ordered by `id`."""
    by_id: dict[Any, dict[str, Any]] = {}
    for hits in parts:
        for hit in hits:
            by_id.setdefault(hit.get("id"), hit)
    if limit <= 0 or not by_id:
        return []
    scores = [_score(hit) for hit in by_id.values()]
    lowest = heapq.nlargest(limit, scores)[-1]
    best = [hit for hit, score in zip(by_id.values(), scores, strict=True) if score >= lowest]
    return sorted(best, key=_order)[:limit]


def _score(hit: dict[str, Any]) -> float:
    return float(hit.get("score", 0.0))


def _order(hit: dict[str, Any]) -> tuple[float, str]:
    return (-_score(hit), str(hit.get("id")))
