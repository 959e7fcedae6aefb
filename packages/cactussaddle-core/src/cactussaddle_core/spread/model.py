"""Records of the store as nodes hand them on."""

from __future__ import annotations

from typing import NamedTuple


class Record(NamedTuple):
    """A key as it was written at `revision`; `value` is None when the key was removed."""

    key: str
    value: bytes | None
    revision: int


class Member(NamedTuple):
    """A registered node, and where other nodes reach it."""

    node: str
    host: str
    port: int
    domain: str


class Batch(NamedTuple):
    """What a source says: records up to `revision`.

    A `whole` batch holds every key there is; another only what has changed since the revision that
    was asked for. `age_s` is how long ago the store confirmed it, at the time of the answer.
    """

    records: tuple[Record, ...]
    revision: int
    whole: bool
    age_s: float
