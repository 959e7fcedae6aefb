"""Choice of the leaves that cover a service's shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence

    from cactussaddle_core.query.view import LeafView

    Choose = Callable[[Sequence[LeafView], float, Callable[[], float]], LeafView]


def least_expected_wait(
    leaves: Sequence[LeafView], now: float, rand: Callable[[], float]
) -> LeafView:
    """Return the better of two random leaves by expected wait; avoided ones are a last resort.

    A leaf with a low limit warms up by the calls it gets. Since it is slower it would lose every
    comparison, so leaves are drawn in proportion to their limits first.
    """
    ready = [leaf for leaf in leaves if leaf.avoid_until <= now] or list(leaves)
    warming = _draw_warming(ready, rand)
    if warming is not None:
        return warming
    first = ready[int(rand() * len(ready))]
    second = ready[int(rand() * len(ready))]
    return min(first, second, key=lambda leaf: leaf.score())


def _draw_warming(leaves: Sequence[LeafView], rand: Callable[[], float]) -> LeafView | None:
    limits = [leaf.limit for leaf in leaves]
    highest, total = max(limits), sum(limits)
    if min(limits) == highest:
        return None
    for leaf in leaves:
        if leaf.limit < highest and leaf.in_flight < leaf.limit and rand() * total < leaf.limit:
            return leaf
    return None


def any_replica(leaves: Sequence[LeafView], now: float, rand: Callable[[], float]) -> LeafView:
    """Return a random leaf (the baseline policy)."""
    return leaves[int(rand() * len(leaves))]


def cover(
    leaves: Sequence[LeafView],
    snapshot: int,
    wanted: Collection[int],
    choose: Choose,
    now: float,
    rand: Callable[[], float],
) -> list[tuple[LeafView, frozenset[int]]]:
    """Return leaves that together hold as many of the wanted shards as possible.

    Each is returned with the wanted shards it is asked for. The list is empty if no leaf holds any.
    """
    missing = set(wanted)
    picked: list[tuple[LeafView, frozenset[int]]] = []
    while missing:
        best = _widest(leaves, snapshot, missing)
        if not best:
            break
        leaf = choose(best, now, rand)
        shards = frozenset(missing & leaf.snapshots[snapshot].shards)
        picked.append((leaf, shards))
        missing -= shards
    return picked


def _widest(leaves: Sequence[LeafView], snapshot: int, missing: set[int]) -> list[LeafView]:
    widths = [
        (len(missing & leaf.snapshots[snapshot].shards), leaf)
        for leaf in leaves
        if snapshot in leaf.snapshots
    ]
    widest = max((width for width, _ in widths), default=0)
    if widest == 0:
        return []
    return [leaf for width, leaf in widths if width == widest]
