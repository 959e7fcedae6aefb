"""Roll-out orders, their status, and the messages that nodes exchange about them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.config.model import MoveState


class RolloutOrder(NamedTuple):
    """An operator's order to move a service's traffic to `version` within `lasts_s`.

    `revision` is the store revision of the order; a later order for the same service replaces it.
    `first_revision` is that of its first writing, if it was written again after the store had lost it.
    """

    service: str
    version: str
    lasts_s: float
    revision: int
    first_revision: int = 0

    @property
    def move(self) -> str:
        """The id of the move that implements the order."""
        return f"{self.service}/{self.version}@{self.first_revision or self.revision}"


class RolloutStatus(NamedTuple):
    """A roll-out's status in the store; `revision` is the store revision of the status."""

    service: str
    version: str
    state: MoveState
    revision: int


class MoveShare(NamedTuple):
    """The share of requests that a move sends to the new version, as set by the leader."""

    move: str
    share: float


class LeaderUpdate(NamedTuple):
    """What the leader sends to all other nodes; `latches` are encoded as in peers' latch messages."""

    node: str
    shares: tuple[MoveShare, ...]
    latches: bytes


class SendEvidence(NamedTuple):
    """Effect: send this node's call counts to the coordinators; delivery is not guaranteed."""

    nodes: tuple[str, ...]
    data: bytes


class SendLeaderUpdate(NamedTuple):
    """Effect: send the leader's update to all nodes; delivery is not guaranteed."""

    news: LeaderUpdate


class RecordRollout(NamedTuple):
    """Effect: write a status unless the order or the status has changed in the meantime.

    `status_revision` is the revision of the last known status, or 0 if there is none.
    """

    order: RolloutOrder
    state: MoveState
    reason: str
    status_revision: int
