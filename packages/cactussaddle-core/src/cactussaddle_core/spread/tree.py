"""Whom a node follows: a tree over the members that each node works out for itself.

The members of a failure domain stand in an order drawn by hashing. The first is the domain's root,
the others follow one before them, a few followers each. Of the roots of a region the first reads
the store and the others follow it. Nodes only follow nodes before them, so there are no circles as
long as they know the same members. Where they don't, and where a reader that the store refuses asks
nodes that may follow it, the age of what is handed on shows it. Such a reader asks the readers of
other regions first: with a node that follows it, it would hand on the same knowledge in a circle.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.hashing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactussaddle_core.spread.model import Member

FOLLOWERS = 12
# Further members tried before the store when those to be followed don't answer.
MAX_FALLBACKS = 2


class Place(NamedTuple):
    """A node's place: the members to follow, best first, and where the store comes among them.

    `store_at` is the number of members to try before the store.
    """

    follow: tuple[Member, ...]
    store_at: int


def place_of(
    node: str, domain: str, members: Iterable[Member], region_of: Mapping[str, str]
) -> Place:
    """Return the place of a node among the members."""
    by_name = {member.node: member for member in members}
    order = _order(domain, by_name.values())
    roots = _roots(by_name.values(), region_of)
    region = region_of.get(domain, domain)
    others = [root for other, root in sorted(roots.items()) if other != region]
    if node not in by_name:
        near = order[:MAX_FALLBACKS]
        return Place(tuple(by_name[name] for name in [*near, *others]), 0)
    index = order.index(node)
    if index > 0:
        before = _before(order, index)
        return Place(tuple(by_name[name] for name in [*before, *others]), len(before))
    reader = roots[region]
    before = [reader] if reader != node else []
    after = order[1 : 1 + MAX_FALLBACKS]
    return Place(tuple(by_name[name] for name in [*before, *others, *after]), len(before))


def _before(order: list[str], index: int) -> list[str]:
    """Return the parent, then others before it in the order, nearest to the root first."""
    parent = order[(index - 1) // FOLLOWERS]
    fallbacks = [name for name in order[: min(index, MAX_FALLBACKS)] if name != parent]
    return [parent, *fallbacks]


def _order(domain: str, members: Iterable[Member]) -> list[str]:
    return rendezvous(domain, (member.node for member in members if member.domain == domain))


def _roots(members: Iterable[Member], region_of: Mapping[str, str]) -> dict[str, str]:
    """Return the node that reads the store for each region."""
    by_region: dict[str, list[str]] = {}
    listed = list(members)
    for domain in {member.domain for member in listed}:
        region = region_of.get(domain, domain)
        by_region.setdefault(region, []).append(_order(domain, listed)[0])
    return {region: rendezvous(region, roots)[0] for region, roots in by_region.items()}
