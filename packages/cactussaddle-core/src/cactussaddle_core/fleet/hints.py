"""What nodes of a region tell one another of leaves, so that each need not find out for itself.

Hints are soft: they may be lost, come late or be wrong for the one who hears them (a leaf may be out
of reach for one node only), so they make a node avoid or probe a leaf, and never rule it out.
"""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.fleet.leaf import SLOW_PROBE_EVERY_S
from cactussaddle_core.fleet.model import Standing

if TYPE_CHECKING:
    import random

    from collections.abc import Iterable

    from cactussaddle_core.fleet.book import Fleet
    from cactussaddle_core.fleet.leaf import Leaf

MAX_HINTS = 24
# Of the nodes that know of a leaf in trouble one probes it next, by chance, and tells the others: the
# earliest time and the span of the times drawn, as parts of the usual pause between probes.
NEXT_PROBE_FACTOR = 1.5
NEXT_PROBE_SPAN = 2.5
# Within this time some nodes see for themselves whether a leaf is down, or up again.
DOWN_CHECK_S = 0.4
MOST_UP_CHECK_S = 1.0
# About as many nodes draw a time within the span as there were when all did.
CHECKING_NODES = 3
# A hint of a fault counts less than a fault seen.
FAULT_WEIGHT = 0.15


class Trouble(enum.IntEnum):
    """What a hint says of a leaf; SLOW comes with how many times slower, FAULTS with how many."""

    NONE = 0
    SLOW = 1
    DOWN = 2
    FAULTS = 3


class Hint(NamedTuple):
    """One node's news of a start of a leaf."""

    leaf: str
    born_ms: int
    trouble: Trouble
    amount: float


class HintBook:
    """Hints to be told with the next message, the newest for each leaf and kind."""

    def __init__(self) -> None:
        self._faults: dict[str, Hint] = {}
        self._states: dict[str, Hint] = {}

    def note(self, leaf: Leaf, trouble: Trouble, amount: float = 0.0) -> None:
        """Keep a hint until it is told."""
        hint = Hint(leaf.name, leaf.entry.born_ms, trouble, amount)
        if trouble is Trouble.FAULTS:
            known = self._faults.get(leaf.name)
            more = known.amount if known is not None else 0.0
            self._faults[leaf.name] = hint._replace(amount=amount + more)
        else:
            self._states[leaf.name] = hint

    def take(self) -> tuple[Hint, ...]:
        """Return what is to be told now."""
        if not self._states and not self._faults:
            return ()
        hints = [*self._states.values(), *self._faults.values()][:MAX_HINTS]
        self._states.clear()
        self._faults.clear()
        return tuple(hints)


def take_hints(
    fleet: Fleet, hints: Iterable[Hint], rng: random.Random, nodes: int, now: float
) -> None:
    """Take in another node's hints; those of another start of a leaf are left aside.

    `nodes` is how many nodes hear the hints: the more they are, the longer each waits with a probe,
    so that a leaf in trouble gets about as many probes however many nodes there are.
    """
    spread = max(1.0, nodes / CHECKING_NODES)
    for hint in hints:
        leaf = fleet.leaves.get(hint.leaf)
        if leaf is not None and leaf.entry.born_ms == hint.born_ms:
            fleet.note_standing(leaf, "told by another node", now)
            _take(leaf, hint, spread * rng.random(), now)


def _take(leaf: Leaf, hint: Hint, drawn: float, now: float) -> None:
    """Take in a hint; `drawn` says when this node's turn to probe the leaf comes."""
    later = now + SLOW_PROBE_EVERY_S * (NEXT_PROBE_FACTOR + NEXT_PROBE_SPAN * drawn)
    if hint.trouble is Trouble.SLOW:
        leaf.probed(hint.amount, now)
        leaf.probes.put_off(leaf.name, later)
    elif hint.trouble is Trouble.DOWN:
        if leaf.standing is Standing.READY:
            leaf.standing = Standing.SUSPECT
            leaf.probes.ask(leaf.name, now + DOWN_CHECK_S * drawn)
        else:
            leaf.probes.put_off(leaf.name, later)
    elif hint.trouble is Trouble.FAULTS:
        for _ in range(min(10, int(hint.amount))):
            leaf.saw_fault(True, now, weight=FAULT_WEIGHT)
    else:
        leaf.probed(1.0, now)
        if leaf.standing is Standing.SUSPECT and now >= leaf.suspect_until:
            leaf.standing = Standing.READY
            leaf.probes.put_off(leaf.name, later)
        elif leaf.standing is not Standing.READY:
            leaf.probes.put_off(leaf.name, now + min(DOWN_CHECK_S * drawn, MOST_UP_CHECK_S))
