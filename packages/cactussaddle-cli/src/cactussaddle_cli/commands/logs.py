"""`cactussaddle logs`: what nodes' logs add up to."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.loglines.reading import STDIN
from cactussaddle_cli.loglines.reading import read_lines
from cactussaddle_cli.loglines.summary import summarize
from cactussaddle_cli.output import print_json
from cactussaddle_cli.output import print_table

if TYPE_CHECKING:
    import argparse

DEFAULT_MOST = 10


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("logs", help="sum up nodes' logs: causes, refusals, leaves")
    parser.add_argument(
        "files", metavar="FILE", nargs="*", default=[STDIN], help="log files, .gz too; - is stdin"
    )
    parser.add_argument("--most", type=int, default=DEFAULT_MOST, help="entries in each list")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    summary = summarize(read_lines(args.files), args.most)
    if args.json:
        print_json(summary._asdict())
        return ExitCode.OK
    print(f"{summary.lines} lines of {summary.nodes} nodes")
    for name in ("results", "refusals", "causes", "leaves", "dropped"):
        rows = getattr(summary, name)
        if rows:
            print()
            print_table((name, "times"), rows)
    return ExitCode.OK
