"""`cactussaddle diff`: say what a sheet would change in the plan."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

import trio

from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import make_context
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.output import print_result
from cactussaddle_cli.plandata import read_plan
from cactussaddle_cli.sheetfile import hold_against
from cactussaddle_cli.sheetfile import load_sheet
from cactussaddle_core.config.change import diff_docs

if TYPE_CHECKING:
    import argparse

    from cactussaddle_cli.context import Context
    from cactussaddle_core.sheet.rows import SheetRow


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("diff", help="say what a sheet would change in the plan")
    parser.add_argument("sheet", metavar="SHEET", help="CSV file")
    add_common(parser)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    ctx = make_context(args)
    return trio.run(diff, ctx, args.sheet, load_sheet(ctx, args.sheet))


async def diff(ctx: Context, path: str, rows: tuple[SheetRow, ...]) -> int:
    """Print what differs between the plan and the plan with the sheet."""
    async with ctx.open_store() as store:
        data = await read_plan(store)
    plan = hold_against(path, rows, data, time.time(), "")
    differences = diff_docs(data.stored.doc, plan.doc) if plan.doc else ()
    lines = [str(difference) for difference in differences] or ["nothing would change"]
    lines += [f"not in the sheet, stays in the plan: {name}" for name in plan.elsewhere]
    value = {
        "outcome": "ok",
        "differences": [difference._asdict() for difference in differences],
        "elsewhere": plan.elsewhere,
    }
    print_result(ctx.json, value, lines)
    return ExitCode.OK
