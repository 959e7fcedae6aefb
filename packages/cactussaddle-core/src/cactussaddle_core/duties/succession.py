"""Who takes a duty next: the same order at every node that knows the same members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.hashing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactussaddle_core.spread.model import Member

KEY = "duty"
# How much longer each candidate waits than the one before it.
PLACE_DELAY_S = 0.4
MAX_DELAY_S = 6.0


def candidates(
    last_holder: str, members: Mapping[str, Member], region_of: Mapping[str, str]
) -> list[str]:
    """Return the members in the order in which they try; the last holder comes last.

    The first is in another region than the last holder, so that the loss of a region leaves one of
    the two.
    """
    order = rendezvous(KEY, members)
    last = members.get(last_holder)
    if last is None:
        return order
    order.remove(last_holder)
    region = region_of.get(last.domain, last.domain)
    away = [
        name
        for name in order
        if region_of.get(members[name].domain, members[name].domain) != region
    ]
    first = away[:1]
    return [*first, *(name for name in order if name not in first), last_holder]


def delay_s(place: int) -> float:
    """Return how long a candidate at a place waits for those before it."""
    return min(MAX_DELAY_S, place * PLACE_DELAY_S)
