"""`cactussaddle load`: load on a deployment with open-loop arrivals."""

from __future__ import annotations

import argparse
import sys

from pathlib import Path

import trio

from returns.result import Failure

from cactussaddle_cli.load.mix import read_mix
from cactussaddle_cli.load.results import results_table
from cactussaddle_cli.load.results import write_results
from cactussaddle_cli.load.runner import LoadSettings
from cactussaddle_cli.load.runner import run_load
from cactussaddle_cli.load.runner import to_stderr

EXIT_USAGE = 2


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("load", help="send a load and report what came back")
    parser.add_argument(
        "--target", action="append", required=True, metavar="URL", help="a node; may be repeated"
    )
    parser.add_argument(
        "--mix",
        action="append",
        required=True,
        metavar="ROUTE=WEIGHT[:PRIORITY]",
        help="a route and its weight (may be repeated), or one JSON file with a list of them",
    )
    parser.add_argument("--rate", type=positive, required=True, help="requests a second in all")
    parser.add_argument("--seconds", type=positive, default=10.0, help="how long to send")
    parser.add_argument("--seed", type=int, default=1, help="seed of arrivals and routes")
    parser.add_argument("--deadline-ms", type=int, help="deadline of each request")
    parser.add_argument("--min-coverage", type=float, help="least coverage of use, 0 to 1")
    parser.add_argument(
        "--non-idempotent",
        action="append",
        default=[],
        metavar="ROUTE",
        help="a route whose requests carry an Idempotency-Key each; may be repeated",
    )
    parser.add_argument("--label", default="", help="name of the run in comparisons")
    parser.add_argument("--out", type=Path, metavar="FILE", help="write the results as JSON")
    parser.add_argument("--quiet", action="store_true", help="no progress lines")
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Run the load and print its table."""
    mix = read_mix(args.mix, frozenset(args.non_idempotent))
    if isinstance(mix, Failure):
        print(f"--mix: {mix.failure()}", file=sys.stderr)
        return EXIT_USAGE
    settings = LoadSettings(
        targets=tuple(args.target),
        mix=tuple(mix.unwrap()),
        rate=args.rate,
        seconds=args.seconds,
        seed=args.seed,
        deadline_ms=args.deadline_ms,
        min_coverage=args.min_coverage,
        label=args.label,
    )
    results = trio.run(run_load, settings, _ignore if args.quiet else to_stderr)
    if args.out is not None:
        write_results(args.out, results)
    print(results_table(results))
    return 0


def positive(text: str) -> float:
    """Parse a number above 0."""
    value = float(text)
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"{text} is not above 0")
    return value


def _ignore(line: str) -> None:
    return
