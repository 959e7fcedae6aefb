"""Reading a sheet from a file for a command."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure

from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_core.sheet.plan import plan_sheet
from cactussaddle_core.sheet.rows import read_sheet

if TYPE_CHECKING:
    from cactussaddle_cli.context import Context
    from cactussaddle_cli.plandata import PlanData
    from cactussaddle_core.sheet.errors import SheetError
    from cactussaddle_core.sheet.plan import SheetPlan
    from cactussaddle_core.sheet.rows import SheetRow


def read_file(path: str) -> bytes:
    """Return the content of a file; end the command when it can't be read."""
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise CommandError(code=ExitCode.USAGE, lines=(f"{path}: {exc.strerror}",)) from exc


def fail_sheet(path: str, errors: tuple[SheetError, ...]) -> CommandError:
    """Return the error for a sheet that is refused."""
    lines = tuple(f"{path}: {error}" for error in errors)
    return CommandError(code=ExitCode.REFUSED, lines=(*lines, "nothing of the sheet was applied"))


def load_sheet(ctx: Context, path: str) -> tuple[SheetRow, ...]:
    """Return the rows of a sheet; end the command when it has an error."""
    rows = read_sheet(read_file(path), ctx.time_zone)
    if isinstance(rows, Failure):
        raise fail_sheet(path, rows.failure())
    return rows.unwrap()


def hold_against(
    path: str, rows: tuple[SheetRow, ...], data: PlanData, wall: float, change_id: str
) -> SheetPlan:
    """Return what the rows change in the plan; end the command when they don't fit it."""
    plan = plan_sheet(data.stored.doc, rows, data.verdicts, wall, change_id)
    if isinstance(plan, Failure):
        raise fail_sheet(path, plan.failure())
    return plan.unwrap()
