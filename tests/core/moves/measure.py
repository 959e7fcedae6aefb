"""Measures version moves over many seeds: python -m tests.core.moves.measure --seeds 20."""

from __future__ import annotations

import argparse
import multiprocessing
import statistics

from tabulate import tabulate

from tests.core.moves.model import Case
from tests.core.moves.model import Fault
from tests.core.moves.model import Fleet

CASES = (
    Case("good", True),
    Case("good, cold for 15 s", True, cold_s=15.0),
    Case("good, cold for 60 calls a leaf", True, cold_calls=60),
    Case("good, one new leaf 10 times slow", True, Fault(slow=10.0, leaf="b1")),
    Case("good, one new leaf fails half", True, Fault(failing=0.5, leaf="b1")),
    Case("good, one node fails half of new calls", True, Fault(failing=0.5, node="n4")),
    Case("good, one node slow with all calls", True, Fault(slow=5.0, node="n4", old=True)),
    Case("good, all nodes fail 5% of all calls", True, Fault(failing=0.05, old=True)),
    Case("fails all at once", False, Fault(failing=1.0)),
    Case("fails half at once, cold throughout", False, Fault(failing=0.5), cold_s=60.0),
    Case("fails 20% at once", False, Fault(failing=0.2)),
    Case("fails all later", False, Fault(failing=1.0, after=0.5)),
    Case("fails 20% later", False, Fault(failing=0.2, after=0.5)),
    Case("fails half under load", False, Fault(failing=0.5, min_share=0.4)),
    Case("fails half on one route", False, Fault(failing=0.5, route="lookup")),
    Case("3 times slow at once", False, Fault(slow=3.0)),
    Case("3 times slow at once, cold throughout", False, Fault(slow=3.0), cold_s=60.0),
    Case("2 times slow at once", False, Fault(slow=2.0)),
    Case("3 times slow at once, cold for 60 calls", False, Fault(slow=3.0), cold_calls=60),
    Case("2 times slow at once, cold for 60 calls", False, Fault(slow=2.0), cold_calls=60),
    Case("3 times slow later", False, Fault(slow=3.0, after=0.5)),
    Case("3 times slow under load", False, Fault(slow=3.0, min_share=0.4)),
    Case("3 times slow on one route", False, Fault(slow=3.0, route="lookup")),
)
HEADERS = (
    "case",
    "done",
    "taken back",
    "latched",
    "decided at (fraction of the duration), worst",
    "share until detectable, all seeds",
    "worst seed",
    "faulty calls, median",
    "s to no share, median",
    "worst",
    "s from detectable to no share, median",
    "worst",
)


def run_one(args):
    index, seed, options = args
    return Fleet(case=CASES[index], seed=seed, **options).run()


def exposed(results):
    return sum(r.new_until_shown for r in results) / sum(r.all_until_shown for r in results)


def row(case, results):
    reactions = [r.reaction_s for r in results if r.reaction_s >= 0.0]
    spreads = [r.spread_s for r in results if r.spread_s >= 0.0]
    return (
        case.name,
        sum(r.state == "done" for r in results),
        sum(r.state == "taken back" for r in results),
        sum(r.latched for r in results),
        f"{max(r.at_part for r in results):.2f}",
        "" if case.good else f"{exposed(results):.3f}",
        "" if case.good else f"{max(exposed([r]) for r in results):.3f}",
        "" if case.good else int(statistics.median(r.bad_calls for r in results)),
        f"{statistics.median(reactions):.1f}" if reactions and not case.good else "",
        f"{max(reactions):.1f}" if reactions and not case.good else "",
        f"{statistics.median(spreads):.1f}" if spreads and not case.good else "",
        f"{max(spreads):.1f}" if spreads and not case.good else "",
    )


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.core.moves.measure")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument(
        "--good-only",
        action="store_true",
        help="run only the good versions, to find false verdicts",
    )
    parser.add_argument(
        "--cases", nargs="+", default=[""], help="substrings of the names of the cases to run"
    )
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=80.0, help="calls per second to the service")
    parser.add_argument(
        "--rooted", action="store_true", help="calls are recorded by their root node"
    )
    parser.add_argument("--limits", action="store_true", help="use the node's own cold detection")
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    selected = [
        index
        for index, case in enumerate(CASES)
        if (case.good or not args.good_only) and any(part in case.name for part in args.cases)
    ]
    options = {
        "duration_s": args.duration_s,
        "rate": args.rate,
        "owned": not args.rooted,
        "limits": args.limits,
    }
    jobs = [
        (index, seed, options)
        for index in selected
        for seed in range(args.first_seed, args.first_seed + args.seeds)
    ]
    with multiprocessing.Pool(args.jobs) as pool:
        results = pool.map(run_one, jobs, chunksize=4)
    rows = [
        row(CASES[index], results[i * args.seeds : (i + 1) * args.seeds])
        for i, index in enumerate(selected)
    ]
    print(tabulate(rows, headers=HEADERS, tablefmt="pipe", disable_numparse=True))


if __name__ == "__main__":
    main()
