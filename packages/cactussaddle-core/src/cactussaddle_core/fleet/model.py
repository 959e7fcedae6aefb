"""What the registry says of leaves."""

from __future__ import annotations

import enum

from typing import NamedTuple


class LeafEntry(NamedTuple):
    """A leaf as it has registered itself.

    `leaf` is its id, `born_ms` the Unix millisecond of its start (0 where it doesn't tell), and
    `cold_left_s` how much longer it stays cold, counted from the writing of the entry. `sequence`
    grows with each writing of one start of the leaf.
    """

    leaf: str
    service: str
    host: str
    port: int
    domain: str
    version: str
    slots: int
    draining: bool
    cold_left_s: float
    born_ms: int
    sequence: int


class Load(NamedTuple):
    """A leaf's own report of its load."""

    running: int
    waiting: int
    slots: int


class Standing(enum.StrEnum):
    """Whether new calls may go to a leaf."""

    READY = "ready"
    SUSPECT = "suspect"
    DOWN = "down"
