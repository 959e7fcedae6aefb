"""Hints about leaves that the nodes of a region exchange, to save each its own failure detection.

Hints are advisory. They may be lost, late, or wrong for the receiver, for instance when a leaf is
unreachable from one node only. A hint therefore makes a node avoid or probe a leaf, but never
excludes it.
"""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.fleet.leaf import SLOW_PROBE_INTERVAL_S
from cactussaddle_core.fleet.model import Availability

if TYPE_CHECKING:
    import random

    from collections.abc import Iterable

    from cactussaddle_core.fleet.fleet import Fleet
    from cactussaddle_core.fleet.leaf import Leaf

MAX_HINTS = 24
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


class HintKind(enum.IntEnum):
    """What a hint reports. SLOW carries the slowness ratio, FAULTS the number of faults."""

    NONE = 0
    SLOW = 1
    DOWN = 2
    FAULTS = 3


class Hint(NamedTuple):
    """A report on a leaf; `born_ms` identifies the start of the leaf that it refers to."""

    leaf: str
    born_ms: int
    kind: HintKind
    amount: float


class HintBuffer:
    """Hints queued for the next message.

    It keeps the newest state of each leaf and the sum of its faults.
    """

    def __init__(self) -> None:
        self._faults: dict[str, Hint] = {}
        self._states: dict[str, Hint] = {}

    def note(self, leaf: Leaf, kind: HintKind, amount: float = 0.0) -> None:
        """Queue a hint."""
        hint = Hint(leaf.name, leaf.entry.born_ms, kind, amount)
        if kind is HintKind.FAULTS:
            known = self._faults.get(leaf.name)
            queued = known.amount if known is not None else 0.0
            self._faults[leaf.name] = hint._replace(amount=amount + queued)
        else:
            self._states[leaf.name] = hint

    def take(self) -> tuple[Hint, ...]:
        """Return the queued hints, at most `MAX_HINTS`, and clear the queue."""
        if not self._states and not self._faults:
            return ()
        hints = [*self._states.values(), *self._faults.values()][:MAX_HINTS]
        self._states.clear()
        self._faults.clear()
        return tuple(hints)


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


def _apply(leaf: Leaf, hint: Hint, drawn: float, now: float) -> None:
    """Apply one hint; `drawn` is the random factor of this node's probe delay."""
    later = now + SLOW_PROBE_INTERVAL_S * (PROBE_DELAY_FACTOR + PROBE_DELAY_SPREAD * drawn)
    if hint.kind is HintKind.SLOW:
        leaf.record_probe(hint.amount, now)
        leaf.probes.postpone(leaf.name, later)
    elif hint.kind is HintKind.DOWN:
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
