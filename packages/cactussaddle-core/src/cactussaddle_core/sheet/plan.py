"""Compares a sheet with the plan: moves that are added, changed and unchanged."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_core.config.change import merge_moves
from cactussaddle_core.config.change import next_doc
from cactussaddle_core.config.check import check_doc
from cactussaddle_core.config.fold import fold_final
from cactussaddle_core.sheet.errors import WHOLE_SHEET
from cactussaddle_core.sheet.errors import SheetError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cactussaddle_core.config.faults import Fault
    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.config.model import Move
    from cactussaddle_core.config.verdict import Verdict
    from cactussaddle_core.sheet.rows import SheetRow
    from cactussaddle_core.sheet.table import Errors

MOVE_COLUMNS = {"kind": "action", "target": "target", "start": "start", "finish": "finish"}


class SheetPlan(NamedTuple):
    """The result of comparing a sheet with the plan.

    `doc` is the next document, None if the sheet changes nothing. `final` lists rows whose move is
    done or taken back, and `elsewhere` the planned moves that are not in the sheet.
    """

    doc: ConfigDoc | None
    added: tuple[str, ...]
    changed: tuple[str, ...]
    unchanged: tuple[str, ...]
    final: tuple[str, ...]
    elsewhere: tuple[str, ...]


def plan_sheet(
    doc: ConfigDoc,
    rows: Sequence[SheetRow],
    verdicts: Mapping[str, Verdict],
    wall: float,
    change_id: str,
) -> Result[SheetPlan, Errors]:
    """Return what the sheet changes, or every error of the resulting plan.

    `wall` is seconds since the epoch. A row whose move is already final changes nothing by itself.
    """
    current = {move["id"]: move for move in doc["moves"]}
    sheet = {row.move["id"]: row.move for row in rows}
    added = tuple(name for name in sheet if name not in current and name not in verdicts)
    changed = tuple(name for name in sheet if name in current and sheet[name] != current[name])
    plan = SheetPlan(
        doc=None,
        added=added,
        changed=changed,
        unchanged=tuple(
            name for name in sheet if sheet[name] == current.get(name) and name not in verdicts
        ),
        final=tuple(name for name in sheet if name in verdicts),
        elsewhere=tuple(name for name in current if name not in sheet),
    )
    if not added and not changed:
        return Success(plan)
    updates: list[Move] = [sheet[name] for name in (*added, *changed)]
    merged = next_doc(doc, change_id, merge_moves(doc, updates))
    faults = check_doc(merged, wall, doc, verdicts)
    if faults:
        return Failure(tuple(sorted(row_error(fault, rows) for fault in faults)))
    return Success(plan._replace(doc=fold_final(merged, verdicts, wall)))


def row_error(fault: Fault, rows: Sequence[SheetRow]) -> SheetError:
    """Return a fault of the document as an error of the row that caused it."""
    numbers = {row.move["id"]: row.row for row in rows}
    if fault.move_id not in numbers and fault.other_id in numbers:
        reason = f"clashes with the plan in force: {fault}"
        return SheetError(numbers[fault.other_id], "", reason)
    if fault.move_id not in numbers:
        return SheetError(WHOLE_SHEET, "", f"with the plan in force: {fault}")
    key = fault.key.removeprefix(f"moves[{fault.move_id}]").lstrip(".")
    column = MOVE_COLUMNS.get(key, key.partition("[")[0])
    return SheetError(numbers[fault.move_id], column, fault.reason)
