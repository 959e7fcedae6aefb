"""Reads CSV as spreadsheet programs write it: byte-order mark, various separators, quoted cells."""

from __future__ import annotations

import csv
import io

from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_core.sheet.errors import WHOLE_SHEET
from cactussaddle_core.sheet.errors import SheetError

COLUMNS = (
    "id",
    "action",
    "target",
    "start",
    "finish",
    "time zone",
    "version",
    "leaves",
    "note",
)
REQUIRED_COLUMNS = ("action", "target", "start", "finish")
SEPARATORS = (",", ";", "\t")
SEPARATOR_LINE = "sep="
MAX_SHEET_BYTES = 1_000_000
HEADER_ROW = 1


class TableRow(NamedTuple):
    """A row that is not blank: its number, and its cells by column without surrounding spaces."""

    row: int
    cells: dict[str, str]


Errors = tuple[SheetError, ...]


def read_table(data: bytes) -> Result[tuple[TableRow, ...], Errors]:
    """Read the cells of a sheet, or return every error found."""
    try:
        text = decode_text(data)
        records = read_records(text)
    except ValueError as exc:
        return Failure((SheetError(WHOLE_SHEET, "", str(exc)),))
    if not records:
        return Failure((SheetError(WHOLE_SHEET, "", "is empty"),))
    header_row, header = records[0]
    names = [name.strip().lower() for name in header]
    while names and not names[-1]:
        names.pop()
    errors = check_header(header_row, names)
    for row, cells in records[1:]:
        if any(cell.strip() for cell in cells[len(names) :]):
            reason = f"has {len(cells)} cells, the header {len(names)}"
            errors.append(SheetError(row, "", reason))
    if errors:
        return Failure(tuple(errors))
    rows = [TableRow(row, read_cells(names, cells)) for row, cells in records[1:]]
    return Success(tuple(rows))


def decode_text(data: bytes) -> str:
    """Decode UTF-8 with or without a byte-order mark; raise `ValueError` for anything else."""
    if len(data) > MAX_SHEET_BYTES:
        raise ValueError(f"is larger than {MAX_SHEET_BYTES} bytes")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        line = data[: exc.start].count(b"\n") + 1
        raise ValueError(f"is not UTF-8 (line {line}); save it as CSV UTF-8") from exc
    if "\0" in text:
        raise ValueError("has zero bytes; save it as CSV UTF-8")
    return text


def read_records(text: str) -> list[tuple[int, list[str]]]:
    """Return the non-blank records, each with its row number."""
    separator, body, first_row = find_separator(text)
    reader = csv.reader(io.StringIO(body, newline=""), delimiter=separator, strict=True)
    records = []
    row = first_row
    try:
        for cells in reader:
            if any(cell.strip() for cell in cells):
                records.append((row, cells))
            row += 1
    except csv.Error as exc:
        raise ValueError(f"is not CSV, row {row}: {exc}") from exc
    return records


def find_separator(text: str) -> tuple[str, str, int]:
    """Return the separator, the text after a `sep=` line, and the number of its first row."""
    first_line, _, rest = text.partition("\n")
    if first_line.lower().startswith(SEPARATOR_LINE):
        named = first_line[len(SEPARATOR_LINE) :].rstrip("\r")
        if named not in SEPARATORS:
            raise ValueError(f"names the separator {named!r}; allowed: comma, semicolon, tab")
        return named, rest, HEADER_ROW + 1
    header = next((line for line in text.splitlines() if line.strip(" ,;\t")), "")
    return max(SEPARATORS, key=header.count), text, HEADER_ROW


def check_header(row: int, names: list[str]) -> list[SheetError]:
    """Check that the columns are known, unique, and include the required ones."""
    errors = []
    for position, name in enumerate(names, start=1):
        if not name:
            errors.append(SheetError(row, str(position), "has no name"))
        elif name not in COLUMNS:
            allowed = ", ".join(COLUMNS)
            errors.append(SheetError(row, name, f"unknown column; allowed: {allowed}"))
        elif names.index(name) + 1 < position:
            errors.append(SheetError(row, name, "is there twice"))
    for name in REQUIRED_COLUMNS:
        if name not in names:
            errors.append(SheetError(row, name, "the column is missing"))
    return errors


def read_cells(names: list[str], cells: list[str]) -> dict[str, str]:
    """Return the cells of a row by column; missing cells are empty."""
    padded = [cell.strip() for cell in cells] + [""] * len(names)
    return {name: padded[position] for position, name in enumerate(names)}
