"""`cactussaddle report`: the state of each planned move, with its time and reason."""

from __future__ import annotations

import sys
import time

from typing import TYPE_CHECKING
from typing import Any

import trio

from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import make_context
from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.nodeplan import MoveRow
from cactussaddle_cli.nodes import add_nodes
from cactussaddle_cli.outage import as_of_text
from cactussaddle_cli.outage import read_nodes
from cactussaddle_cli.output import print_json
from cactussaddle_cli.output import print_table
from cactussaddle_cli.output import time_text
from cactussaddle_cli.plandata import read_plan
from cactussaddle_core.config.verdict import move_status
from cactussaddle_core.config.verdict import row_text

if TYPE_CHECKING:
    import argparse

    from collections.abc import Sequence

    from cactussaddle_cli.context import Context
    from cactussaddle_cli.plandata import PlanData

HEADERS = ("id", "move", "state", "since", "reason")


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("report", help="say what became of each planned move")
    add_nodes(parser)
    add_common(parser)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    return trio.run(report, make_context(args), args.node)


def report_rows(data: PlanData, wall: float) -> list[MoveRow]:
    """Return the moves of the plan, then final ones that have left it, newest last."""
    rows = []
    for move in data.stored.doc["moves"]:
        status = move_status(move, data.verdicts.get(move["id"]), wall)
        rows.append(MoveRow(move["id"], row_text(move), status.state, status.at, status.reason))
    planned = {move["id"] for move in data.stored.doc["moves"]}
    for move_id, verdict in data.verdicts.items():
        if move_id not in planned:
            words = verdict.get("row", "")
            rows.append(MoveRow(move_id, words, verdict["state"], verdict["at"], verdict["reason"]))
    return sorted(rows, key=lambda row: (row.at, row.id))


async def report(ctx: Context, given: list[str]) -> int:
    """Print the report, from the nodes while the store is out."""
    try:
        async with ctx.open_store() as store:
            data = await read_plan(store)
    except CommandError as exc:
        if exc.code is not ExitCode.STORE_UNAVAILABLE:
            raise
        return await report_of_nodes(ctx, given, exc)
    rows = report_rows(data, time.time())
    if ctx.json:
        revision = data.stored.doc["revision"]
        moves = [row._asdict() for row in rows]
        print_json({"source": "store", "revision": revision, "moves": moves})
        return ExitCode.OK
    print_rows(rows)
    return ExitCode.OK


async def report_of_nodes(ctx: Context, given: list[str], outage: CommandError) -> int:
    """Print what the nodes know of the plan, and that it comes from them."""
    plan, missing = await read_nodes(ctx, given, outage)
    if ctx.json:
        value: dict[str, Any] = {
            "source": "nodes",
            "as_of": plan.as_of,
            "revision": plan.revision,
            "holding": plan.holding,
            "moves": [row._asdict() for row in plan.rows],
            "errors": [*outage.lines, *missing],
        }
        print_json(value)
        return ExitCode.STORE_UNAVAILABLE
    for line in (*outage.lines, *missing):
        print(f"cactussaddle: {line}", file=sys.stderr)
    print(f"from the nodes, {as_of_text(plan)}; moves that left the plan are not shown")
    print_rows(plan.rows)
    return ExitCode.STORE_UNAVAILABLE


def print_rows(rows: Sequence[MoveRow]) -> None:
    """Print the moves as a table."""
    shown = [
        (row.id, row.move, row.state, "" if row.at is None else time_text(row.at), row.reason)
        for row in rows
    ]
    print_table(HEADERS, shown)
