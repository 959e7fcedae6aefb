"""The distribution tree: which members a node follows. Each node computes it from the members.

The members of a failure domain are ordered by rendezvous hashing. The first is the root of the
domain and the others follow a member before them, so that each has a few followers. The first of a
region's roots reads the store, and the region's other roots follow it. Nodes only follow earlier
nodes, so there are no cycles as long as all know the same members. Cycles are possible while views
differ, and when a reader that the store refuses asks nodes that may follow it; the age of the data
reveals them. Such a reader asks the readers of other regions first, since data from one of its own
followers would only circulate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.hashing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactussaddle_core.spread.model import Member

MAX_FOLLOWERS = 12
# Maximum number of other members to try before the store when the parent does not answer.
MAX_FALLBACKS = 2


class TreePosition(NamedTuple):
    """A node's position in the tree: the members to follow, in order of preference.

    `store_at` is the number of members to try before the store.
    """

    follow: tuple[Member, ...]
    store_at: int


def tree_position(
    node: str, domain: str, members: Iterable[Member], region_of: Mapping[str, str]
) -> TreePosition:
    """Return a node's position in the tree of the members."""
    by_name = {member.node: member for member in members}
    order = _order(domain, by_name.values())
    roots = _roots(by_name.values(), region_of)
    region = region_of.get(domain, domain)
    others = [root for other, root in sorted(roots.items()) if other != region]
    if node not in by_name:
        near = order[:MAX_FALLBACKS]
        return TreePosition(tuple(by_name[name] for name in [*near, *others]), 0)
    index = order.index(node)
    if index > 0:
        before = _before(order, index)
        return TreePosition(tuple(by_name[name] for name in [*before, *others]), len(before))
    reader = roots[region]
    before = [reader] if reader != node else []
    after = order[1 : 1 + MAX_FALLBACKS]
    return TreePosition(tuple(by_name[name] for name in [*before, *others, *after]), len(before))


def _before(order: list[str], index: int) -> list[str]:
    """Return the parent, then fallbacks earlier in the order, closest to the root first."""
    parent = order[(index - 1) // MAX_FOLLOWERS]
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
