"""`cactussaddle where`: where a request would go now, and why, without sending it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import httpx
import trio

from returns.result import Failure

from cactussaddle_cli.context import NODE_SETTINGS
from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import node_timeout_s
from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.nodes import fetch_where
from cactussaddle_cli.output import print_json
from cactussaddle_cli.output import print_table

if TYPE_CHECKING:
    import argparse

LEAF_COLUMNS = (
    "service",
    "leaf",
    "goes here",
    "domain",
    "distance",
    "standing",
    "cost ms",
    "queue",
    "pace",
    "obstacle",
)


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser(
        "where", help="tell where a request would go now, and why, without sending it"
    )
    parser.add_argument(
        "url", metavar="NODE_URL", help="metrics address, such as http://10.0.0.1:9464"
    )
    parser.add_argument("host", metavar="HOST", help="the host that callers name")
    parser.add_argument("path", metavar="PATH", help="path of the request, such as /search/x")
    parser.add_argument(
        "--team", default="", help="the team that sends it, where requests need keys"
    )
    add_common(parser, NODE_SETTINGS)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    asked = {"host": args.host, "path": args.path, "team": args.team}
    return trio.run(where, args.url, asked, node_timeout_s(args), args.json)


async def where(url: str, asked: dict[str, str], timeout_s: float, as_json: bool) -> int:
    """Print where the request would go."""
    async with httpx.AsyncClient(timeout=timeout_s, trust_env=False) as client:
        found = await fetch_where(client, url.rstrip("/"), asked)
    if isinstance(found, Failure):
        line = f"{url} can't tell: {found.failure()}"
        raise CommandError(code=ExitCode.NODE_UNREACHABLE, lines=(line,))
    view = found.unwrap()
    if as_json:
        print_json(view)
        return ExitCode.OK
    print(summary(view))
    print_table(LEAF_COLUMNS, leaf_rows(view))
    return ExitCode.OK


def summary(view: dict[str, Any]) -> str:
    """Return the decision in a sentence."""
    begin = f"{view['node']}, routing table {view['table_version']}: "
    if view["obstacle"]:
        return f"{begin}refused, as {view['obstacle']}"
    if view["delegate"]:
        return f"{begin}route {view['route']}, handed to {view['delegate']}; here it would go to:"
    return f"{begin}route {view['route']}, priority {view['priority']}, goes to:"


def leaf_rows(view: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return a row for each leaf; that of the one that gets the call has the reason."""
    return [
        (
            part["service"],
            leaf["leaf"],
            part["reason"] if leaf["leaf"] == part["leaf"] else "",
            leaf["domain"],
            leaf["distance"],
            leaf["standing"],
            str(leaf["cost_ms"]),
            str(leaf["queue_rounds"]),
            str(leaf["pace"]),
            leaf["obstacle"],
        )
        for part in view["parts"]
        for leaf in part["leaves"]
    ]
