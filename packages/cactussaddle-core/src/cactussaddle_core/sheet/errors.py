"""Errors found in a sheet."""

from __future__ import annotations

from typing import NamedTuple

WHOLE_SHEET = 0


class SheetError(NamedTuple):
    """One error; `row` is numbered as in a spreadsheet program, where the header is row 1.

    A `row` of 0 refers to the entire sheet, an empty `column` to the entire row.
    """

    row: int
    column: str
    reason: str

    def __str__(self) -> str:
        place = f"row {self.row}" if self.row else "sheet"
        column = f", column {self.column}" if self.column else ""
        return f"{place}{column}: {self.reason}"
