"""Records of the store as passed between nodes."""

from __future__ import annotations

from typing import NamedTuple


class Record(NamedTuple):
    """A key as written at `revision`; `value` is None if the key was removed."""

    key: str
    value: bytes | None
    revision: int


class Member(NamedTuple):
    """A registered node and its peer address.

    `cores` is its processor in cores of usual speed; 0 if it doesn't run queries of other nodes.
    """

    node: str
    host: str
    port: int
    domain: str
    cores: float = 0.0


class Batch(NamedTuple):
    """Records up to `revision`, as returned by a source.

    A `whole` batch holds all records; any other holds only the changes after the requested
    revision. `age_s` is the time since the store last confirmed the data, as of the answer, and
    `in_service_s` for how long the source knows the store to have been in service. The source
    waited `waited_s` for changes before it answered. `era` counts how often the store has come back from
    an older copy, after which revisions are given out again; None if the source doesn't name it.
    """

    records: tuple[Record, ...]
    revision: int
    whole: bool
    age_s: float
    in_service_s: float = 0.0
    waited_s: float = 0.0
    era: int | None = None


class Poll(NamedTuple):
    """A request to a node for the changes after a revision, which the store confirmed `age_s` ago.

    The revision is of the store's `era`; 0 if that is not known. The node waits up to `wait_s` for changes; its answer is missed `timeout_s` after that.
    """

    after: int
    age_s: float
    wait_s: float
    timeout_s: float
    era: int = 0
