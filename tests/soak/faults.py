"""The faults of one run, drawn from its seed: which, when, on what, for how long; they overlap."""

from __future__ import annotations

import random

from typing import NamedTuple

NODE_FAULTS = ("kill", "term", "pause", "hup", "store cut")
LEAF_FAULTS = (
    "slow",
    "shed",
    "errors",
    "hang",
    "mute",
    "garble",
    "extra",
    "crash",
    "restart",
    "drain",
    "lapse",
)
LINK_FAULTS = ("delay", "reset", "one way", "silent", "refuse")
STORE_FAULTS = ("silent", "busy", "slow", "lost", "compact")
OPERATOR_ACTS = ("config", "reshard", "domain out", "storm")
# Drawn besides the others, from a sequence of their own: the others of a seed stay as they were.
FURTHER_FAULTS = (
    ("store", "lost"),
    ("store", "late"),
    ("store", "strand"),
    ("node", "lost"),
    ("link", "strand"),
    ("writer", "entries"),
    ("operator", "domain out"),
)


class Fault(NamedTuple):
    """At `at` seconds `kind` befalls `what` number `which`, for `for_s` seconds."""

    at: float
    group: str
    kind: str
    which: int
    for_s: float


def draw_all(seed: int, seconds: float, *, nodes: int, leaves: int) -> list[Fault]:
    """Return all faults of a run in order of time."""
    faults = draw(seed, seconds, nodes=nodes, leaves=leaves)
    counts = {"node": nodes, "link": leaves, "writer": leaves}
    rng = random.Random(f"further faults {seed}")
    rate = rng.uniform(0.15, 0.7)
    weights = [rng.random() for _ in FURTHER_FAULTS]
    at = 0.0
    while (at := at + rng.expovariate(rate)) < seconds:
        group, kind = rng.choices(FURTHER_FAULTS, weights)[0]
        which = rng.randrange(counts.get(group, 1))
        faults.append(Fault(at, group, kind, which, rng.uniform(0.4, 4.0)))
    others = [*draw_restores(seed, seconds), *draw_garbage(seed, seconds, nodes=nodes)]
    return sorted([*faults, *others])


def draw_restores(seed: int, seconds: float) -> list[Fault]:
    """Return at most one restore of the store, in every other run: away for a while, back from a copy."""
    rng = random.Random(f"restores {seed}")
    if rng.random() < 0.5:
        return []
    at = rng.uniform(0.3, 0.7) * seconds
    return [Fault(at, "store", "restore", 0, rng.uniform(0.5, 3.0))]


def draw_garbage(seed: int, seconds: float, *, nodes: int) -> list[Fault]:
    """Return two moments at which a node's own port gets messages that no node sends."""
    rng = random.Random(f"garbage {seed}")
    return [
        Fault(rng.uniform(0.0, seconds), "node", "garbage", rng.randrange(nodes), 0.0)
        for _ in range(2)
    ]


def draw(seed: int, seconds: float, *, nodes: int, leaves: int) -> list[Fault]:
    """Return the faults drawn first, in order of time."""
    rng = random.Random(f"faults {seed}")
    rate = rng.uniform(0.6, 1.8)
    weights = {
        "node": (NODE_FAULTS, nodes, rng.random() + 0.2),
        "leaf": (LEAF_FAULTS, leaves, 1.5 * rng.random() + 0.4),
        "link": (LINK_FAULTS, leaves, rng.random() + 0.2),
        "store": (STORE_FAULTS, 1, 0.5 * rng.random()),
        "operator": (OPERATOR_ACTS, 1, 0.6 * rng.random() + 0.1),
    }
    faults = []
    at = 0.0
    while (at := at + rng.expovariate(rate)) < seconds:
        group = rng.choices(list(weights), [entry[2] for entry in weights.values()])[0]
        kinds, count, _ = weights[group]
        faults.append(
            Fault(at, group, rng.choice(kinds), rng.randrange(count), rng.uniform(0.4, 4.0))
        )
    return faults
