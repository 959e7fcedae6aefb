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


class Fault(NamedTuple):
    """At `at` seconds `kind` befalls `what` number `which`, for `for_s` seconds."""

    at: float
    group: str
    kind: str
    which: int
    for_s: float


def draw(seed: int, seconds: float, *, nodes: int, leaves: int) -> list[Fault]:
    """Return the faults of a run in order of time."""
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
