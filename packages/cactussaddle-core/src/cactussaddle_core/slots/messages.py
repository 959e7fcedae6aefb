"""Messages between the owner and the deputy of a leaf, and the effect that sends them."""

from __future__ import annotations

from typing import NamedTuple


class LeafHint(NamedTuple):
    """What the owner last saw of a leaf: its limit of calls and its incarnation."""

    leaf: str
    limit: int
    incarnation: str


class PairPing(NamedTuple):
    """An owner's heartbeat to a deputy: asks for the deputy's half of each of `leaves`.

    `seq` is the owner's own, `lend_s` how long from the sending the lending shall last.
    """

    incarnation: int
    epoch: int
    seq: int
    lend_s: float
    leaves: tuple[str, ...]
    hints: tuple[LeafHint, ...] = ()


class PairPong(NamedTuple):
    """A deputy's answer: the count of slots lent for each leaf.

    `fresh` is false while the deputy itself has not heard from anybody since a pause; `gone` is
    true when it holds the asking incarnation to be gone for good.
    """

    incarnation: int
    epoch: int
    seq: int
    fresh: bool
    gone: bool
    lent: tuple[tuple[str, int], ...]


class Send(NamedTuple):
    """Effect: send `message` to the node `to`."""

    to: str
    message: PairPing | PairPong
