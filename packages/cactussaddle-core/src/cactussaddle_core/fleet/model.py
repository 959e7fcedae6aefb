"""Registry entries and load reports of leaves."""

from __future__ import annotations

import enum

from typing import NamedTuple


class LeafEntry(NamedTuple):
    """A leaf's registration.

    `leaf` is its id, `born_ms` its start time in Unix milliseconds (0 if not reported), and
    `cold_left_s` how much longer it stays cold, counted from the time the entry was written.
    `sequence` increases with each write by the same start of the leaf.
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
    """A leaf's own report of its load.

    `pace` is how long work takes on its host at the moment, relative to the usual time; None if the leaf
    does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class LeafNotice(NamedTuple):
    """What a leaf says of itself in an answer.

    `limit_per_s` is how many requests a second it takes from all nodes together, None if it names no
    limit. `leaving` means that it is about to stop. `pause_s` is for how long it wants nothing from the node
    that got the answer, None if it asks for no pause.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None


NO_NOTICE = LeafNotice()


class Availability(enum.StrEnum):
    """Whether a leaf is believed to be available for new calls."""

    READY = "ready"
    SUSPECT = "suspect"
    DOWN = "down"
