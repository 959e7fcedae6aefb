"""Runs the soak: `python -m tests.soak --seeds 1-50 --jobs 3`."""

from __future__ import annotations

import argparse
import concurrent.futures
import shutil
import subprocess
import sys
import tempfile

from pathlib import Path

import trio

from tests.harness.process import ROOT
from tests.harness.process import environment
from tests.soak.run import Options
from tests.soak.run import run_soak
from tests.soak.stopsoak import run_stops

BOUND_S = 300.0


def run_here(options: Options, *, stops: bool) -> int:
    ledger = trio.run(run_stops if stops else run_soak, options)
    print(f"seed {options.seed}: {sum(ledger.results.values())} answers {ledger.summary()}")
    for text in ledger.broken[:20]:
        print(f"  broken: {text}")
    return 1 if ledger.broken else 0


def run_child(argv: list[str], seed: int, logs: Path) -> tuple[int, str]:
    """Run a seed in a process of its own; the logs stay if it fails."""
    folder = logs / f"seed-{seed}"
    command = [sys.executable, "-m", "tests.soak", "--one", str(seed), *argv]
    command += ["--logs", str(folder)]
    done = subprocess.run(
        command, cwd=ROOT, env=environment(), capture_output=True, text=True, timeout=BOUND_S
    )
    if done.returncode == 0:
        shutil.rmtree(folder)
    return done.returncode, done.stdout + done.stderr[-2000:]


def parse_seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="such as 7 or 1-50")
    parser.add_argument("--stops", action="store_true", help="planned stops alone")
    parser.add_argument("--one", type=int, help="run this seed here")
    parser.add_argument("--seconds", type=float, default=15.0, help="how long faults come")
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--logs", type=Path, help="folder that keeps the logs")
    args = parser.parse_args()
    logs = args.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    if args.one is not None:
        logs.mkdir(parents=True, exist_ok=True)
        options = Options(args.one, args.seconds, args.nodes, args.callers, logs)
        return run_here(options, stops=args.stops)
    passed = ["--seconds", args.seconds, "--nodes", args.nodes, "--callers", args.callers]
    argv = [str(value) for value in passed] + (["--stops"] if args.stops else [])
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for code, text in pool.map(
            lambda seed: run_child(argv, seed, logs), parse_seeds(args.seeds)
        ):
            print(text.rstrip(), flush=True)
            failed += code != 0
    print(f"{failed} seeds failed" + (f", logs in {logs}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
