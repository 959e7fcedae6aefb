"""Measures how long an accepted configuration takes to be in force on the slowest node.

Accepted is when the writer knows; in force is what each node's log says. Both are wall times of one
machine. A revert is a revision in a node's log that is not above the one before.
"""

from __future__ import annotations

import argparse
import datetime
import random
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import trio

from cactussaddle_common.configstore import Accepted
from cactussaddle_common.configstore import read_config
from cactussaddle_common.configstore import write_config
from cactussaddle_common.store import EtcdStore
from cactussaddle_core.config.change import next_doc
from tests.harness.cluster import Cluster
from tests.harness.process import wait_for
from tools.figures import table
from tools.figures import write_section

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.config.model import ConfigDoc

BOUND_S = 20.0
STORE_TIMEOUT_S = 2.0
LARGEST_PAUSE_S = 0.5
SLOW_MS = 200
HEADERS = ("while", "rounds", "median s", "worst s", "reverts", "not in 7 s")
IN_FORCE_S = 7.0
HISTORY_BYTES = 16_000_000


class Condition(NamedTuple):
    """What is done before a write, after it, and once the round is over."""

    before: Callable[[Cluster], None]
    after: Callable[[Cluster, int], None]
    end: Callable[[Cluster], None]
    writers: int = 1


def nothing(cluster: Cluster, revision: int = 0) -> None:
    """Leave the store as it is."""


def slow(cluster: Cluster) -> None:
    cluster.store(delay_ms=SLOW_MS)


def fast(cluster: Cluster) -> None:
    cluster.store(delay_ms=0)


def out_once_known(cluster: Cluster, revision: int) -> None:
    """Take the store out once one node has the revision; the others must hear of it from peers."""
    wait_for(
        lambda: any(has(cluster, node, revision) for node in cluster.nodes), BOUND_S, "one node"
    )
    cluster.store(outage="refuse")


def back(cluster: Cluster) -> None:
    cluster.store(outage=False)


CONDITIONS = {
    "nothing fails": Condition(nothing, nothing, nothing),
    "the store takes 200 ms more": Condition(slow, nothing, fast),
    "the write's answer is lost": Condition(lambda c: c.store(lose_answers=1), nothing, nothing),
    "every watch has gone silent": Condition(
        lambda c: c.store(silence_watches=True), nothing, nothing
    ),
    "the store goes out once one node has it": Condition(nothing, out_once_known, back),
    "two operators write at once": Condition(nothing, nothing, nothing, writers=2),
}


async def write_until_accepted(store: EtcdStore, change_id: str) -> ConfigDoc:
    """Write the next revision, again after each lost race."""
    while True:
        stored = (await read_config(store)).unwrap()
        assert stored is not None
        doc = next_doc(stored.doc, change_id, stored.doc["moves"])
        outcome = (await write_config(store, doc, stored, HISTORY_BYTES)).unwrap()
        if isinstance(outcome, Accepted):
            return doc


async def write(cluster: Cluster, names: list[str]) -> tuple[int, float]:
    """Let each writer write once; return the last revision and when it was accepted."""
    accepted: list[tuple[int, float]] = []

    async def writer(name: str) -> None:
        async with EtcdStore(endpoint=cluster.store_url, timeout_s=STORE_TIMEOUT_S) as store:
            doc = await write_until_accepted(store, name)
            accepted.append((doc["revision"], time.time()))

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(writer, name)
    return max(accepted)


def seen(cluster: Cluster, node: str) -> list[tuple[int, float]]:
    """Return each revision that came into force on a node, with its wall time."""
    events: list[dict[str, Any]] = []
    for line in cluster.nodes[node].text().splitlines():
        if '"config_in_force"' in line:
            events.append(msgspec.json.decode(line))
    return [(event["revision"], time_of(event["time"])) for event in events]


def time_of(text: str) -> float:
    """Return a log line's time as seconds since the epoch."""
    return datetime.datetime.fromisoformat(text).timestamp()


def has(cluster: Cluster, node: str, revision: int) -> bool:
    """Whether a node's log has the revision or a later one."""
    return any(found >= revision for found, _ in seen(cluster, node))


def in_force_everywhere(cluster: Cluster, revision: int) -> bool:
    """Whether every node has the revision or a later one."""
    return all(has(cluster, node, revision) for node in cluster.nodes)


def slowest(cluster: Cluster, revision: int, accepted: float) -> float:
    """Return how long after `accepted` the last node had the revision."""
    return max(
        min(at for found, at in seen(cluster, node) if found >= revision) - accepted
        for node in cluster.nodes
    )


def reverts(cluster: Cluster) -> int:
    """Return how many revisions were not above the one before, over all nodes."""
    count = 0
    for node in cluster.nodes:
        revisions = [revision for revision, _ in seen(cluster, node)]
        count += sum(1 for old, new in zip(revisions, revisions[1:], strict=False) if new <= old)
    return count


def one_round(cluster: Cluster, name: str, number: int) -> float:
    """Write once under a condition; return the time to the slowest node, seconds."""
    condition = CONDITIONS[name]
    condition.before(cluster)
    names = [f"round-{number}-{writer}" for writer in range(condition.writers)]
    revision, accepted = trio.run(write, cluster, names)
    condition.after(cluster, revision)
    wait_for(lambda: in_force_everywhere(cluster, revision), BOUND_S, f"{name}: {revision}")
    condition.end(cluster)
    return slowest(cluster, revision, accepted)


def measure(args: argparse.Namespace) -> list[tuple[object, ...]]:
    """Return a row for each condition."""
    rng = random.Random(args.seed)
    rows: list[tuple[object, ...]] = []
    number = 0
    with Cluster(deployment=args.deployment, nodes=args.nodes, seed=args.seed) as cluster:
        cluster.wait_ready()
        for name in CONDITIONS:
            before = reverts(cluster)
            times = []
            for _ in range(args.rounds):
                number += 1
                times.append(one_round(cluster, name, number))
                time.sleep(rng.uniform(0.0, LARGEST_PAUSE_S))
            times.sort()
            late = sum(1 for seconds in times if seconds > IN_FORCE_S)
            median, worst = f"{times[len(times) // 2]:.2f}", f"{times[-1]:.2f}"
            rows.append((name, args.rounds, median, worst, reverts(cluster) - before, late))
            print(*rows[-1], sep="  ", file=sys.stderr)
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deployment", default="bench")
    parser.add_argument("--page", type=Path, help="replace the section 'in-force' of this page")
    args = parser.parse_args()
    text = table(HEADERS, measure(args))
    print(text)
    if args.page is not None:
        command = f"python -m tools.measure_in_force --nodes {args.nodes} --rounds {args.rounds}"
        command += f" --seed {args.seed} --deployment {args.deployment}"
        day = time.strftime("%d %b %Y", time.gmtime())
        note = f"`{command}` on {day}; time from accepted to in force on the slowest node."
        write_section(args.page, "in-force", f"{note}\n\n{text}")


if __name__ == "__main__":
    main()
