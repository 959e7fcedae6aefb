"""Orders of roll-outs, their status, and what nodes tell one another of them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.config.model import MoveState


class RolloutOrder(NamedTuple):
    """The operators want a service's traffic moved to `version` within `lasts_s`.

    `revision` is the store's, of the order's writing; a later order for the service replaces it.
    """

    service: str
    version: str
    lasts_s: float
    revision: int

    @property
    def move(self) -> str:
        """The id of the move that carries the order out."""
        return f"{self.service}@{self.revision}"


class RolloutStatus(NamedTuple):
    """What the store says of a roll-out; `revision` is the store's, of the status's writing."""

    service: str
    version: str
    state: MoveState
    revision: int


class ShareTold(NamedTuple):
    """A move's share of the new version, as the node that leads the move holds it."""

    move: str
    share: float


class LeaderNews(NamedTuple):
    """What a leading node tells all others; `latches` are encoded as the moves book spreads them."""

    node: str
    shares: tuple[ShareTold, ...]
    latches: bytes


class TellEvidence(NamedTuple):
    """Effect: send this node's counts to the judges; some may not hear of it."""

    nodes: tuple[str, ...]
    data: bytes


class TellNews(NamedTuple):
    """Effect: send a leading node's news to all nodes; some may not hear of it."""

    news: LeaderNews


class RecordRollout(NamedTuple):
    """Effect: write a status unless the order or the status has changed since.

    `status_revision` is that of the status known here, 0 where there is none.
    """

    order: RolloutOrder
    state: MoveState
    reason: str
    status_revision: int
