"""Which nodes that lost a right have surely ceased to use it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.slots.model import Settled

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.slots.model import Pending
    from cactussaddle_core.slots.model import Placement


class Clearance:
    """What this node has heard about the settled epochs and the end of other incarnations.

    The calls of a process that has ended run on at the leaf until their time limit, so a gone
    incarnation counts as clear only `grace_s` after this node learned of it.
    """

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._settled: dict[str, Settled] = {}
        self._gone_at: dict[tuple[str, int], float] = {}

    def heard(self, node: str, incarnation: int, settled_epoch: int) -> None:
        """Note what a node has said of itself; older words are ignored."""
        said = Settled(incarnation, settled_epoch)
        known = self._settled.get(node)
        if known is None or said > known:
            self._settled[node] = said

    def gone(self, node: str, incarnation: int, now: float) -> None:
        """Note that an incarnation is gone for good; the first time counts."""
        self._gone_at.setdefault((node, incarnation), now)

    def is_gone(self, node: str, incarnation: int) -> bool:
        """Return whether the incarnation is known to be gone, whatever the grace."""
        return (node, incarnation) in self._gone_at

    def is_clear(self, item: Pending, now: float) -> bool:
        """Return whether the pending node uses the half no more."""
        gone_at = self._gone_at.get((item["node"], item["incarnation"]))
        if gone_at is not None and now >= gone_at + self._grace_s:
            return True
        said = self._settled.get(item["node"])
        if said is None or said.incarnation != item["incarnation"]:
            return False
        return said.epoch >= item["epoch"]

    def settled_of(self, node: str) -> Settled | None:
        """Return what a node has last said of itself."""
        return self._settled.get(node)

    def settled(self) -> dict[str, Settled]:
        """Return the settled epochs, as the planner takes them."""
        return dict(self._settled)

    def gone_and_clear(self, now: float) -> set[tuple[str, int]]:
        """Return the gone incarnations whose grace is over, as the planner takes them."""
        return {key for key, at in self._gone_at.items() if now >= at + self._grace_s}

    def forget_except(self, named: Iterable[tuple[str, int]]) -> None:
        """Forget the gone incarnations that no placement names any more."""
        keep = set(named)
        self._gone_at = {key: at for key, at in self._gone_at.items() if key in keep}


def named_incarnations(placement: Placement) -> set[tuple[str, int]]:
    """Return every (node, incarnation) that the placement names."""
    named = {(name, member["incarnation"]) for name, member in placement["members"].items()}
    for entry in placement["entries"].values():
        named.update((item["node"], item["incarnation"]) for item in entry["pending"])
    return named
