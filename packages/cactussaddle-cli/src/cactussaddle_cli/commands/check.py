"""`cactussaddle check`: say every error of a sheet, and whether it fits the plan."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

import trio

from returns.result import Success

from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import make_context
from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.nodeplan import merge_dumps
from cactussaddle_cli.nodes import add_nodes
from cactussaddle_cli.nodes import fetch_dumps
from cactussaddle_cli.nodes import node_urls
from cactussaddle_cli.output import print_result
from cactussaddle_cli.plandata import read_plan
from cactussaddle_cli.sheetfile import hold_against
from cactussaddle_cli.sheetfile import load_sheet
from cactussaddle_core.moves.pace import too_short_reason

if TYPE_CHECKING:
    import argparse

    from cactussaddle_cli.context import Context
    from cactussaddle_core.sheet.rows import SheetRow


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("check", help="check a sheet; nothing is written")
    parser.add_argument("sheet", metavar="SHEET", help="CSV file")
    add_nodes(parser)
    add_common(parser)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    ctx = make_context(args)
    rows = load_sheet(ctx, args.sheet)
    return trio.run(check, ctx, args.sheet, rows, args.node)


async def check(ctx: Context, path: str, rows: tuple[SheetRow, ...], nodes: list[str]) -> int:
    """Hold the rows against the plan in force."""
    try:
        async with ctx.open_store() as store:
            data = await read_plan(store)
    except CommandError as exc:
        well = f"{path}: {len(rows)} rows without error by themselves, not held against the plan"
        raise CommandError(code=exc.code, lines=(well, *exc.lines)) from exc
    plan = hold_against(path, rows, data, time.time(), "")
    counts = {
        "added": len(plan.added),
        "changed": len(plan.changed),
        "unchanged": len(plan.unchanged),
        "final": len(plan.final),
    }
    words = ", ".join(f"{count} {name}" for name, count in counts.items())
    warnings = await find_warnings(ctx, nodes, rows, {*plan.added, *plan.changed})
    value = {"outcome": "ok", **counts, "warnings": warnings}
    lines = [f"{path}: {warning}" for warning in warnings]
    print_result(ctx.json, value, [*lines, f"{path}: good; {words}"])
    return ExitCode.OK


async def find_warnings(
    ctx: Context, nodes: list[str], rows: tuple[SheetRow, ...], fresh: set[str]
) -> list[str]:
    """Return a warning for each new version that gets too few calls, by the nodes' counts of now.

    Without a node to ask there is none; a row with a warning is accepted all the same.
    """
    versions = [row for row in rows if row.move["id"] in fresh and "version" in row.move]
    try:
        urls = await node_urls(ctx, nodes) if versions else []
    except CommandError as exc:
        return [f"not known whether the traffic is enough: {line}" for line in exc.lines]
    dumps = await fetch_dumps(ctx, urls)
    known = merge_dumps(dump.unwrap() for dump in dumps.values() if isinstance(dump, Success))
    if known is None:
        return ["not known whether the traffic is enough: no node answered"] if urls else []
    warnings = []
    for row, move in versions:
        risk = too_short_reason(move, 0.0, 0.0, known.traffic.get(move["target"], 0.0))
        warnings += [f"warning: row {row}: {risk}"] if risk else []
    return warnings
