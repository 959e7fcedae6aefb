"""`cactussaddle compare`: two runs of `load` beside each other."""

from __future__ import annotations

import sys

from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure

from cactussaddle_cli.load.compare import compare_table
from cactussaddle_cli.load.compare import plot
from cactussaddle_cli.load.results import read_results

if TYPE_CHECKING:
    import argparse

EXIT_USAGE = 2


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("compare", help="compare the results of two loads")
    parser.add_argument("first", type=Path, metavar="A.json")
    parser.add_argument("second", type=Path, metavar="B.json")
    parser.add_argument("--plot", type=Path, metavar="FILE", help="draw the percentiles")
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Print the comparison."""
    first, second = read_results(args.first), read_results(args.second)
    for read in (first, second):
        if isinstance(read, Failure):
            print(read.failure(), file=sys.stderr)
            return EXIT_USAGE
    print(compare_table(first.unwrap(), second.unwrap()))
    if args.plot is not None:
        plot(first.unwrap(), second.unwrap(), args.plot)
    return 0
