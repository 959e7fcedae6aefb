"""`cactussaddle plan`: print the moves of the accepted configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio

from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import make_context
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.output import print_json
from cactussaddle_cli.output import print_table
from cactussaddle_cli.output import time_text
from cactussaddle_cli.plandata import read_stored

if TYPE_CHECKING:
    import argparse

    from cactussaddle_cli.context import Context

HEADERS = ("id", "kind", "target", "start", "finish", "version", "leaves")


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("plan", help="print the plan in force")
    add_common(parser)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    return trio.run(plan, make_context(args))


async def plan(ctx: Context) -> int:
    """Print the plan; JSON holds the whole document."""
    async with ctx.open_store() as store:
        doc = (await read_stored(store)).doc
    if ctx.json:
        print_json(doc)
        return ExitCode.OK
    print(f"revision {doc['revision']}, change {doc['change_id']}")
    rows = [
        (
            move["id"],
            move["kind"],
            move["target"],
            time_text(move["start"]),
            time_text(move["finish"]),
            move.get("version", ""),
            ", ".join(leaf["name"] for leaf in move.get("leaves", [])),
        )
        for move in doc["moves"]
    ]
    print_table(HEADERS, rows)
    return ExitCode.OK
