"""The record of an idempotency key in the store, as JSON."""

from __future__ import annotations

import enum

from typing import NamedTuple
from typing import TypedDict

import msgspec

from cactussaddle_core.exceptions import CactussaddleError
from cactussaddle_core.hashing import hash64

MAX_ANSWER_BYTES = 16 * 1024


class RecordError(CactussaddleError):
    """A record in the store can't be read."""


class RecordState(enum.StrEnum):
    """State of an attempt in the store.

    `intent` may have run, `not_run` certainly did not and never will, `done` has run, and `unknown` was
    sent to a leaf that did not answer.
    """

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptId(NamedTuple):
    """Identifies one attempt permanently: an incarnation never reuses a sequence number."""

    node: str
    incarnation: str
    seq: int

    def text(self) -> str:
        """Return the form used in records and messages."""
        return f"{self.node}/{self.incarnation}/{self.seq}"


class Record(TypedDict):
    """The stored value; `at` is seconds since the epoch.

    `answer` is empty if the answer was larger than `MAX_ANSWER_BYTES`; `digest` always holds the hash
    of the answer.
    """

    attempt: str
    fingerprint: str
    state: RecordState
    at: float
    answer: bytes
    digest: str


def parse_attempt(text: str) -> AttemptId:
    """Read the text form of an attempt id; raise `RecordError` when it is malformed."""
    parts = text.rsplit("/", 2)
    if len(parts) != 3 or not parts[2].isdecimal():
        raise RecordError(f"malformed attempt id {text!r}")
    return AttemptId(parts[0], parts[1], int(parts[2]))


def encode_record(record: Record) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record; raise `RecordError` when it is malformed."""
    try:
        return msgspec.json.decode(data, type=Record)
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise RecordError(str(exc)) from exc


def bounded(answer: bytes) -> bytes:
    """Return the answer if it is small enough for a record, else an empty one."""
    return answer if len(answer) <= MAX_ANSWER_BYTES else b""


def digest_of(answer: bytes) -> str:
    """Return the hash by which a caller can recognise an answer that was not stored."""
    return f"{hash64(answer):016x}"
