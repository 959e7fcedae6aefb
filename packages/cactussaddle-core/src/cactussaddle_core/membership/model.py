"""Records of members, the messages that carry them, and the effects of membership."""

from __future__ import annotations

import enum

from typing import NamedTuple


class NodeState(enum.IntEnum):
    """State of a member; of two records with the same counter, the higher state is the newer."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class MemberRecord(NamedTuple):
    """The record of one node.

    `incarnation` distinguishes processes of the same name and grows with each start. Only the node
    itself raises `counter`, to refute a suspicion or to announce that it is leaving.
    """

    name: str
    incarnation: int
    counter: int
    state: int
    address: str
    domain: str

    def rank(self) -> tuple[int, int, int]:
        """Return the sort key by which the newer of two records is determined."""
        return self.incarnation, self.counter, self.state


class Ping(NamedTuple):
    """Asks for an `Ack`; `join` also asks for the complete table."""

    sender: MemberRecord
    seq: int
    join: bool
    updates: tuple[MemberRecord, ...]


class Ack(NamedTuple):
    """Answers a `Ping`.

    `placement_epoch` is the newest that the sender has. `fresh` is false while the sender has not
    heard from any node since a pause; `gone` is true if it considers the asking incarnation
    ended. `digest` is the hash of the sender's table.
    """

    sender: MemberRecord
    seq: int
    placement_epoch: int
    fresh: bool
    gone: bool
    digest: int
    updates: tuple[MemberRecord, ...]


class PingRequest(NamedTuple):
    """Asks the receiver to ping `address` and to answer `Relayed` with the same `seq`."""

    sender: MemberRecord
    seq: int
    target: str
    address: str


class Relayed(NamedTuple):
    """Says that the target of a `PingRequest` has answered."""

    sender: MemberRecord
    seq: int
    target: str


class Rumor(NamedTuple):
    """Carries updates or, with `table` set, a part of the sender's complete table.

    A table is applied but not spread further. `pull` asks for the receiver's table in return.
    """

    sender: MemberRecord
    pull: bool
    table: bool
    updates: tuple[MemberRecord, ...]


Message = Ping | Ack | PingRequest | Relayed | Rumor


class Send(NamedTuple):
    """Effect: send `message` to the node at `address`; `to` is its name where it is known."""

    to: str
    address: str
    message: Message


class Changed(NamedTuple):
    """Effect: the record of a member changed; `old` is None for a new member."""

    old: MemberRecord | None
    new: MemberRecord


class Gone(NamedTuple):
    """Effect: this incarnation has certainly ended.

    Its address answers with a newer incarnation, or the host list has dropped its host.
    """

    name: str
    incarnation: int


class Answered(NamedTuple):
    """Effect: a peer that is not stale answered a ping sent at `asked_at`."""

    peer: str
    placement_epoch: int
    asked_at: float


class Superseded(NamedTuple):
    """Effect: this process is considered ended, or a newer one has its name; it must stop."""

    incarnation: int


class Paused(NamedTuple):
    """Effect: the clock shows that this process was paused for `gap_s`."""

    gap_s: float


Effect = Send | Changed | Gone | Answered | Superseded | Paused
