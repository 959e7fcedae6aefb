"""`cactussaddle dump`: the state of one node."""

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
from cactussaddle_cli.nodes import fetch_dump
from cactussaddle_cli.output import print_json
from cactussaddle_cli.output import print_table

if TYPE_CHECKING:
    import argparse

    from collections.abc import Iterator


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("dump", help="print the state of a node")
    parser.add_argument("url", metavar="NODE_URL", help="such as http://10.0.0.1:8080")
    add_common(parser, NODE_SETTINGS)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    return trio.run(dump, args.url, node_timeout_s(args), args.json)


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield each plain value of a dump with its dotted path."""
    if isinstance(value, dict) and value:
        for name, part in value.items():
            yield from flatten(part, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        for place, part in enumerate(value):
            yield from flatten(part, f"{path}[{place}]")
    else:
        yield path, str(value)


async def dump(url: str, timeout_s: float, as_json: bool) -> int:
    """Print the dump."""
    async with httpx.AsyncClient(timeout=timeout_s, trust_env=False) as client:
        found = await fetch_dump(client, url.rstrip("/"))
    if isinstance(found, Failure):
        line = f"{url} can't be reached: {found.failure()}"
        raise CommandError(code=ExitCode.NODE_UNREACHABLE, lines=(line,))
    if as_json:
        print_json(found.unwrap())
    else:
        print_table(("name", "value"), list(flatten(found.unwrap())))
    return ExitCode.OK
