"""Choice of the snapshot that an answer is drawn from."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cactussaddle_core.query.view import FleetView
    from cactussaddle_core.query.view import LeafView


class SnapshotChoice(NamedTuple):
    """A snapshot with the number of shards that each service has in it."""

    snapshot: int
    shards_of: dict[str, int]
    coverable: int
    total: int


def choose_snapshot(
    view: FleetView, services: Sequence[str], usable: Mapping[str, Sequence[LeafView]]
) -> SnapshotChoice | None:
    """Return the snapshot that covers the largest share of shards, the newest among equals.

    `usable` holds the leaves of each service that may get new calls. A service without any shard of a
    snapshot counts with the number of shards of its newest known snapshot, or 1, so that a missing
    service always lowers the coverage. Return None if no usable leaf holds any snapshot.
    """
    candidates = {
        snapshot for service in services for leaf in usable[service] for snapshot in leaf.snapshots
    }
    choices = [_weigh(view, services, usable, snapshot) for snapshot in sorted(candidates)]
    if not choices:
        return None
    return max(choices, key=lambda choice: (choice.coverable / choice.total, choice.snapshot))


def _weigh(
    view: FleetView,
    services: Sequence[str],
    usable: Mapping[str, Sequence[LeafView]],
    snapshot: int,
) -> SnapshotChoice:
    shards_of: dict[str, int] = {}
    coverable = 0
    for service in services:
        shards_of[service] = _shard_count(view.by_service.get(service, ()), snapshot)
        held: set[int] = set()
        for leaf in usable[service]:
            if snapshot in leaf.snapshots:
                held |= leaf.snapshots[snapshot].shards
        coverable += len(held)
    return SnapshotChoice(snapshot, shards_of, coverable, max(1, sum(shards_of.values())))


def _shard_count(leaves: Sequence[LeafView], snapshot: int) -> int:
    counts = [leaf.snapshots[snapshot].of for leaf in leaves if snapshot in leaf.snapshots]
    if counts:
        return max(counts)
    newest = [max(leaf.snapshots.items()) for leaf in leaves if leaf.snapshots]
    if not newest:
        return 1
    return max(newest)[1].of
