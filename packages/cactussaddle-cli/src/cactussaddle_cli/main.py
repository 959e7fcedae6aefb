"""Console entry of the command line."""

from __future__ import annotations

import argparse
import importlib
import os
import pkgutil
import sys

from typing import TYPE_CHECKING

from cactussaddle_cli import commands
from cactussaddle_cli.context import PROG
from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.output import print_error

if TYPE_CHECKING:
    from collections.abc import Sequence

# What a shell reports of a program that SIGPIPE ended.
READER_GONE = 141
DESCRIPTION = "Operates the query tier: the planners' sheet, the plan, and what became of it."


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with every command of the `commands` package."""
    parser = argparse.ArgumentParser(prog=PROG, description=DESCRIPTION)
    subparsers = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    for info in pkgutil.iter_modules(commands.__path__):
        module = importlib.import_module(f"{commands.__name__}.{info.name}")
        module.add_parser(subparsers)
    return parser


def main(argv: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        return int(args.handler(args))
    except CommandError as exc:
        print_error(getattr(args, "json", False), exc)
        return int(exc.code)


def run() -> None:
    """Run the command line; a reader that has had enough of the output ends it quietly."""
    try:
        code = main(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # What is still buffered would fail again when the interpreter flushes it at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = READER_GONE
    sys.exit(code)


if __name__ == "__main__":
    run()
