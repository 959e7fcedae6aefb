"""Changes between two versions of a table of items by name."""

from __future__ import annotations

from typing import TypeVar

T = TypeVar("T")


def diff_items(old: dict[str, T], new: dict[str, T]) -> dict[str, T | None]:
    """Return the items of `new` that differ from `old`, and None for each that was removed."""
    changed: dict[str, T | None] = {k: v for k, v in new.items() if old.get(k) != v}
    changed.update({k: None for k in old if k not in new})
    return changed


def patch_items(old: dict[str, T], changes: dict[str, T | None]) -> dict[str, T]:
    """Return `old` with the changes applied, in order of name."""
    merged = {k: v for k, v in old.items() if k not in changes}
    merged.update({k: v for k, v in changes.items() if v is not None})
    return dict(sorted(merged.items()))
