"""Applies hints from other nodes to this node's view of the leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.fleet.hints import HintKind
from cactussaddle_core.fleet.leaf import SLOW_PROBE_INTERVAL_S
from cactussaddle_core.fleet.model import Availability

if TYPE_CHECKING:
    import random

    from collections.abc import Iterable

    from cactussaddle_core.fleet.fleet import Fleet
    from cactussaddle_core.fleet.hints import Hint
    from cactussaddle_core.fleet.leaf import Leaf

# After a hint about an unhealthy leaf, each node draws a random delay until its own next probe. The
# first to probe shares the result and the others postpone theirs. The constants give the minimum
# delay and the range of the random part, as multiples of the usual probe interval.
PROBE_DELAY_FACTOR = 1.5
PROBE_DELAY_SPREAD = 2.5
# Range of the random delay before a node checks a leaf reported down, or up again.
DOWN_CHECK_S = 0.4
MAX_RECOVERY_CHECK_S = 1.0
# The random range grows with the number of nodes, so that about this many of them draw a delay
# within the range given above.
TARGET_PROBERS = 3
# A fault reported by another node counts less than one observed locally.
HINTED_FAULT_WEIGHT = 0.15


def apply_hints(
    fleet: Fleet, hints: Iterable[Hint], rng: random.Random, nodes: int, now: float
) -> None:
    """Apply hints from another node; those about another start of a leaf are ignored.

    `nodes` is the number of nodes that receive the hints. The range of the probe delays grows with
    it, so that the number of probes of an unhealthy leaf hardly depends on the number of nodes.
    """
    spread = max(1.0, nodes / TARGET_PROBERS)
    for hint in hints:
        leaf = fleet.leaves.get(hint.leaf)
        if leaf is not None and leaf.entry.born_ms == hint.born_ms:
            fleet.track_availability(leaf, "reported by another node", now)
            _apply(leaf, hint, spread * rng.random(), now)
            if hint.kind is HintKind.DOWN:
                fleet.reported_down(leaf)


def _apply(leaf: Leaf, hint: Hint, drawn: float, now: float) -> None:
    """Apply one hint; `drawn` is the random factor of this node's probe delay."""
    later = now + SLOW_PROBE_INTERVAL_S * (PROBE_DELAY_FACTOR + PROBE_DELAY_SPREAD * drawn)
    if hint.kind is HintKind.SLOW:
        leaf.record_probe(hint.amount, now)
        leaf.probes.postpone(leaf.name, later)
    elif hint.kind is HintKind.DOWN:
        leaf.doubt(now)
        if leaf.availability is Availability.READY:
            leaf.availability = Availability.SUSPECT
            leaf.probes.schedule(leaf.name, now + DOWN_CHECK_S * drawn)
        else:
            leaf.probes.postpone(leaf.name, later)
    elif hint.kind is HintKind.FAULTS:
        for _ in range(min(10, int(hint.amount))):
            leaf.record_fault(True, now, weight=HINTED_FAULT_WEIGHT)
    else:
        leaf.record_probe(1.0, now)
        if leaf.availability is Availability.SUSPECT and now >= leaf.suspect_until:
            leaf.availability = Availability.READY
            leaf.probes.postpone(leaf.name, later)
        elif leaf.availability is not Availability.READY:
            leaf.probes.postpone(leaf.name, now + min(DOWN_CHECK_S * drawn, MAX_RECOVERY_CHECK_S))
