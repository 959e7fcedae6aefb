"""`cactussaddle apply`: put the rows of a sheet into the plan."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

import trio

from returns.result import Failure

from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import make_context
from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.nodes import add_nodes
from cactussaddle_cli.nodes import node_urls
from cactussaddle_cli.output import print_result
from cactussaddle_cli.plandata import fail_lost
from cactussaddle_cli.plandata import fail_write
from cactussaddle_cli.plandata import new_change_id
from cactussaddle_cli.plandata import read_plan
from cactussaddle_cli.sheetfile import hold_against
from cactussaddle_cli.sheetfile import load_sheet
from cactussaddle_cli.waiting import IN_FORCE_S
from cactussaddle_cli.waiting import wait_in_force
from cactussaddle_common.configstore import Accepted
from cactussaddle_common.configstore import LostRace
from cactussaddle_common.configstore import prune_verdicts
from cactussaddle_common.configstore import write_config

if TYPE_CHECKING:
    import argparse

    from cactussaddle_cli.context import Context
    from cactussaddle_core.sheet.plan import SheetPlan
    from cactussaddle_core.sheet.rows import SheetRow


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("apply", help="put the rows of a sheet into the plan")
    parser.add_argument("sheet", metavar="SHEET", help="CSV file")
    parser.add_argument(
        "--wait", action="store_true", help=f"wait until it is in force, at most {IN_FORCE_S:g} s"
    )
    add_nodes(parser)
    add_common(parser)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    ctx = make_context(args)
    return trio.run(apply, ctx, args.sheet, load_sheet(ctx, args.sheet), args.wait, args.node)


async def apply(
    ctx: Context, path: str, rows: tuple[SheetRow, ...], wait: bool, nodes: list[str]
) -> int:
    """Write the plan with the sheet's rows, and wait for it if asked."""
    urls = await node_urls(ctx, nodes) if wait else []
    if wait and not urls:
        line = "--wait needs the nodes: name them with --node or set --host-list"
        raise CommandError(code=ExitCode.USAGE, lines=(line,))
    async with ctx.open_store() as store:
        data = await read_plan(store)
        plan = hold_against(path, rows, data, time.time(), new_change_id())
        value, lines = describe(plan, data.stored.doc["revision"])
        if plan.doc is not None:
            written = await write_config(store, plan.doc, data.stored, ctx.history_bytes)
            if isinstance(written, Failure):
                fail_write(written.failure(), plan.doc["change_id"])
            outcome = written.unwrap()
            if isinstance(outcome, LostRace):
                fail_lost(outcome, data.stored.doc)
            lines += later_lines(outcome)
            await prune_verdicts(store, plan.doc, data.verdicts, time.time())
    code = ExitCode.OK
    if wait:
        code = await report_wait(ctx, urls, value, lines)
    print_result(ctx.json, value, lines)
    return code


def describe(plan: SheetPlan, revision: int) -> tuple[dict[str, Any], list[str]]:
    """Return the outcome of a sheet as JSON value and as lines."""
    names = {
        "added": plan.added,
        "changed": plan.changed,
        "unchanged": plan.unchanged,
        "final": plan.final,
    }
    counts = ", ".join(f"{len(moves)} {name}" for name, moves in names.items())
    if plan.doc is None:
        line = f"nothing to change in revision {revision}; {counts}"
        return {"outcome": "unchanged", "revision": revision, **names}, [line]
    number, change_id = plan.doc["revision"], plan.doc["change_id"]
    value = {"outcome": "accepted", "revision": number, "change_id": change_id, **names}
    return value, [f"accepted as revision {number}, change {change_id}; {counts}"]


def later_lines(outcome: Accepted) -> list[str]:
    """Say which change has come since, when the write's answer was lost."""
    later = outcome.replaced_by
    if later is None:
        return []
    return [f"change {later['change_id']} has made revision {later['revision']} since"]


async def report_wait(
    ctx: Context, urls: list[str], value: dict[str, Any], lines: list[str]
) -> ExitCode:
    """Wait until the revision is in force; add to the outcome what was seen."""
    waited = await wait_in_force(ctx, urls, value["revision"])
    value["waited_s"] = round(waited.seconds, 3)
    value["missing"] = [state._asdict() for state in waited.missing]
    if not waited.missing:
        lines.append(f"in force on {waited.nodes} nodes after {waited.seconds:.2f} s")
        return ExitCode.OK
    lines.append(f"not seen in force within {waited.seconds:.2f} s on:")
    for state in waited.missing:
        lines.append(f"  {state.url}: {state.error or f'revision {state.revision}'}")
    return ExitCode.NOT_IN_FORCE
