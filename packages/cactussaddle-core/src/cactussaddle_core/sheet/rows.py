"""Converts the rows of a sheet to moves."""

from __future__ import annotations

import re

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_core.config.checkparts import NAME
from cactussaddle_core.config.checkparts import NAME_RULE
from cactussaddle_core.config.model import Leaf
from cactussaddle_core.config.model import Move
from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.hashing import hash64
from cactussaddle_core.sheet.errors import SheetError
from cactussaddle_core.sheet.table import read_table
from cactussaddle_core.sheet.times import read_time
from cactussaddle_core.sheet.times import read_zone

if TYPE_CHECKING:
    import zoneinfo

    from collections.abc import Iterator

    from cactussaddle_core.sheet.table import Errors

ACTIONS = {
    "out": MoveKind.DOMAIN_OUT,
    "in": MoveKind.DOMAIN_IN,
    "place": MoveKind.PLACE,
    "leave": MoveKind.LEAVE,
    "version": MoveKind.VERSION,
}
ADDING_ACTIONS = ("place", "version")
LEAF_SEPARATOR = re.compile(r"[|\r\n]+")
LEAF_FIELDS = 3
ID_HASH_BITS = 32


class SheetRow(NamedTuple):
    """A row's number and the move it requests."""

    row: int
    move: Move


class CellError(NamedTuple):
    """An error in one cell of a row."""

    column: str
    reason: str


def read_sheet(data: bytes, zone_name: str | None) -> Result[tuple[SheetRow, ...], Errors]:
    """Read a sheet; `zone_name` is the time zone of rows that specify none.

    Returns all rows, or every error if there is any.
    """
    table = read_table(data)
    if isinstance(table, Failure):
        return Failure(table.failure())
    rows: list[SheetRow] = []
    errors: list[SheetError] = []
    for table_row in table.unwrap():
        found = read_row(table_row.cells, zone_name)
        if isinstance(found, Failure):
            errors += [SheetError(table_row.row, *error) for error in found.failure()]
        else:
            rows.append(SheetRow(table_row.row, found.unwrap()))
    errors += duplicate_rows(rows)
    return Failure(tuple(sorted(errors))) if errors else Success(tuple(rows))


def duplicate_rows(rows: list[SheetRow]) -> Iterator[SheetError]:
    """Yield an error for each row that repeats the id of an earlier row."""
    first: dict[str, int] = {}
    for row, move in rows:
        earlier = first.setdefault(move["id"], row)
        if earlier != row:
            yield SheetError(row, "id", f"{move['id']} is row {earlier} already")


def read_row(cells: dict[str, str], zone_name: str | None) -> Result[Move, list[CellError]]:
    """Return the move of one row, or all errors in it."""
    errors: list[CellError] = []
    action = cells["action"].lower()
    if action not in ACTIONS:
        allowed = ", ".join(ACTIONS)
        errors.append(CellError("action", f"unknown action {action!r}; allowed: {allowed}"))
    if not NAME.fullmatch(cells["target"]):
        errors.append(CellError("target", f"bad name {cells['target']!r}: {NAME_RULE}"))
    zone = row_zone(cells, zone_name, errors)
    start = row_time(cells, "start", zone, errors)
    finish = row_time(cells, "finish", zone, errors)
    if not errors and finish <= start:
        errors.append(CellError("finish", "must be later than start"))
    move: Move = {
        "id": "",
        "kind": ACTIONS.get(action, action),
        "target": cells["target"],
        "start": start,
        "finish": finish,
    }
    add_leaves(move, cells, action, errors)
    set_id(move, cells, action, errors)
    return Failure(errors) if errors else Success(move)


def row_zone(
    cells: dict[str, str], zone_name: str | None, errors: list[CellError]
) -> zoneinfo.ZoneInfo | None:
    """Return the time zone of a row, None if none is specified; an unknown one is an error."""
    name = cells.get("time zone") or zone_name
    if not name:
        return None
    try:
        return read_zone(name)
    except ValueError as exc:
        errors.append(CellError("time zone", str(exc)))
        return read_zone("UTC")


def row_time(
    cells: dict[str, str], column: str, zone: zoneinfo.ZoneInfo | None, errors: list[CellError]
) -> float:
    """Return the time in a cell, in seconds since the epoch; 0 if it is an error."""
    try:
        return read_time(cells[column], zone)
    except ValueError as exc:
        errors.append(CellError(column, str(exc)))
        return 0.0


def add_leaves(move: Move, cells: dict[str, str], action: str, errors: list[CellError]) -> None:
    """Set the version and the leaves of a move that adds leaves."""
    version = cells.get("version", "")
    leaves = cells.get("leaves", "")
    if action not in ADDING_ACTIONS:
        for column, text in (("version", version), ("leaves", leaves)):
            if text:
                errors.append(CellError(column, f"must be empty for the action {action!r}"))
        return
    if not version:
        errors.append(CellError("version", f"is needed for the action {action!r}"))
    if not leaves:
        errors.append(CellError("leaves", f"is needed for the action {action!r}"))
    if action == "version":
        move["version"] = version
    found = []
    for text in filter(None, (part.strip() for part in LEAF_SEPARATOR.split(leaves))):
        parts = text.split()
        if len(parts) != LEAF_FIELDS:
            reason = f"{text!r} is not 'name domain address', as in 'a-4 dublin 10.0.0.4:8000'"
            errors.append(CellError("leaves", reason))
            continue
        found.append(
            Leaf(
                name=parts[0],
                service=move["target"],
                domain=parts[1],
                address=parts[2],
                version=version,
            )
        )
    move["leaves"] = sorted(found, key=lambda leaf: leaf["name"])


def set_id(move: Move, cells: dict[str, str], action: str, errors: list[CellError]) -> None:
    """Set the id given in the row, or derive one from its content."""
    given = cells.get("id", "")
    if given and not NAME.fullmatch(given):
        errors.append(CellError("id", f"bad id {given!r}: {NAME_RULE}"))
    digest = hash64(msgspec.json.encode(move)) >> ID_HASH_BITS
    move["id"] = given or f"{action}-{move['target'][:80]}-{digest:08x}"
