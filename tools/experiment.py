"""Runs experiments, a policy against its baseline over several seeds, and writes their table.

`python -m tools.experiment straggler --page docs/MEASURES.md` starts a cluster of separate
processes for each policy and seed, one after another, and replaces the experiment's section.
"""

from __future__ import annotations

import argparse
import os
import sys
import time

from pathlib import Path

import msgspec

from tests.harness.cluster import Cluster
from tools.experiments.catalogue import EXPERIMENTS
from tools.experiments.catalogue import LIMIT_COLUMNS
from tools.experiments.run import MIXES
from tools.figures import spread
from tools.figures import table
from tools.figures import write_section

LEAF_PROCESSES = 3
POLICIES = ("adaptive", "baseline")


def one_run(args: argparse.Namespace, deployment: str, policy: str, seed: int) -> dict[str, float]:
    with Cluster(
        deployment=deployment,
        nodes=args.nodes,
        policy=policy,
        seed=seed,
        leaf_processes=LEAF_PROCESSES,
    ) as cluster:
        cluster.wait_ready()
        run = EXPERIMENTS[args.experiment].run
        figures = run(cluster, MIXES[deployment], args.seconds, seed)
    figures["load average"] = os.getloadavg()[0]
    shown = "  ".join(f"{name} {value:.2f}" for name, value in figures.items())
    print(f"{args.experiment} {deployment} {policy} seed {seed}: {shown}", file=sys.stderr)
    return figures


def command(args: argparse.Namespace) -> str:
    words = ["python -m tools.experiment", args.experiment, "--nodes", str(args.nodes)]
    words += ["--seconds", f"{args.seconds:g}", "--seeds", *map(str, args.seeds)]
    return " ".join([*words, "--deployments", *args.deployments])


def rows(runs: list[dict[str, object]], columns: tuple[str, ...]) -> list[tuple[str, ...]]:
    grouped: dict[tuple[str, str], list[dict[str, float]]] = {}
    for run in runs:
        key = (str(run["deployment"]), str(run["policy"]))
        grouped.setdefault(key, []).append(run["figures"])  # type: ignore[arg-type]
    return [
        (*key, *(spread([figures[name] for figures in found]).text() for name in columns))
        for key, found in grouped.items()
    ]


def figures_table(runs: list[dict[str, object]], columns: tuple[str, ...]) -> str:
    return table(("deployment", "policy", *columns), rows(runs, columns))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", choices=sorted(EXPERIMENTS))
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--deployments", nargs="+", default=["bordado", "bench"])
    parser.add_argument("--policy", nargs="+", default=list(POLICIES), choices=POLICIES)
    parser.add_argument("--out", type=Path, help="write every run's figures as JSON")
    parser.add_argument("--page", type=Path, help="replace the experiment's section of this page")
    args = parser.parse_args()
    experiment = EXPERIMENTS[args.experiment]
    runs: list[dict[str, object]] = []
    for seed in args.seeds:
        for deployment in args.deployments:
            for policy in args.policy:
                figures = one_run(args, deployment, policy, seed)
                key = {"deployment": deployment, "policy": policy, "seed": seed}
                runs.append({**key, "figures": figures})
    text = figures_table(runs, experiment.columns)
    limit_text = figures_table(runs, LIMIT_COLUMNS)
    print(text, limit_text, sep="\n\n")
    day = time.strftime("%d %b %Y", time.gmtime())
    if args.out is not None:
        args.out.write_bytes(msgspec.json.format(msgspec.json.encode(runs), indent=1) + b"\n")
    if args.page is not None:
        note = f"`{command(args)}` on {day}; {experiment.question}; median (low to high) of seeds."
        limit_note = "Limits in the same runs, by the leaves' own counts:"
        write_section(
            args.page, args.experiment, f"{note}\n\n{text}\n\n{limit_note}\n\n{limit_text}"
        )


if __name__ == "__main__":
    main()
