"""Creates the next configuration document and describes the differences between two documents."""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.config.model import Move

SECTIONS = (
    ("domains", "name"),
    ("services", "name"),
    ("leaves", "name"),
    ("routes", "name"),
    ("moves", "id"),
)


class Change(enum.StrEnum):
    """How one entry differs between two documents."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(NamedTuple):
    """One entry that differs: `key` names it, `detail` describes the change for operators."""

    change: Change
    key: str
    detail: str

    def __str__(self) -> str:
        return (
            f"{self.change} {self.key}: {self.detail}"
            if self.detail
            else f"{self.change} {self.key}"
        )


def next_doc(doc: ConfigDoc, change_id: str, moves: Iterable[Move]) -> ConfigDoc:
    """Return the next revision of a document, with its moves replaced."""
    return {
        **doc,
        "revision": doc["revision"] + 1,
        "change_id": change_id,
        "moves": sorted(moves, key=lambda move: (move["start"], move["id"])),
    }


def merge_moves(doc: ConfigDoc, moves: Iterable[Move]) -> list[Move]:
    """Return the document's moves, updated from `moves`: same id replaces, new ids are added."""
    merged = {move["id"]: move for move in doc["moves"]}
    merged.update({move["id"]: move for move in moves})
    return list(merged.values())


def without_move(doc: ConfigDoc, change_id: str, move_id: str) -> ConfigDoc:
    """Return the next revision of a document, with one move removed."""
    return next_doc(doc, change_id, [move for move in doc["moves"] if move["id"] != move_id])


def diff_docs(old: ConfigDoc, new: ConfigDoc) -> tuple[Difference, ...]:
    """Return the differences between two documents, section by section."""
    found: list[Difference] = []
    for section, name_key in SECTIONS:
        before = index(old, section, name_key)
        after = index(new, section, name_key)
        for name in sorted(before.keys() | after.keys()):
            found += diff_entry(f"{section}[{name}]", before.get(name), after.get(name))
    return tuple(found)


def index(doc: ConfigDoc, section: str, name_key: str) -> dict[str, dict[str, Any]]:
    """Return the entries of one section of a document, indexed by name."""
    entries: list[dict[str, Any]] = dict(doc)[section]  # type: ignore[assignment]
    return {entry[name_key]: entry for entry in entries}


def diff_entry(
    key: str, before: dict[str, Any] | None, after: dict[str, Any] | None
) -> list[Difference]:
    """Return how one entry differs: nothing, or a single difference."""
    if before is None:
        return [Difference(Change.ADDED, key, describe(after or {}))]
    if after is None:
        return [Difference(Change.REMOVED, key, describe(before))]
    if before == after:
        return []
    names = [name for name in {**before, **after} if before.get(name) != after.get(name)]
    changes = [f"{name} {before.get(name)!r} -> {after.get(name)!r}" for name in names]
    return [Difference(Change.CHANGED, key, "; ".join(changes))]


def describe(entry: dict[str, Any]) -> str:
    """Return an entry's fields as text, without its name or id."""
    return ", ".join(
        f"{name} {value}" for name, value in entry.items() if name not in ("name", "id")
    )
