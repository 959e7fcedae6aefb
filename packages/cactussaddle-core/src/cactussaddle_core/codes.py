"""Numbered result codes of answers to callers; docs/RESULT-CODES.md holds the same table."""

from __future__ import annotations

import enum

from typing import NamedTuple


class ResultCode(enum.IntEnum):
    """What became of a caller's request."""

    COMPLETE = 0
    PARTIAL = 1
    RECORDED = 2
    BAD_REQUEST = 10
    UNKNOWN_ROUTE = 11
    HELD = 12
    KEY_REFUSED = 13
    NOT_CONFIGURED = 20
    OVERLOADED = 21
    STOPPING = 22
    NOT_RUN = 23
    KEY_UNCONFIRMED = 24
    INSUFFICIENT_COVERAGE = 30
    DEADLINE_EXCEEDED = 31
    IN_PROGRESS = 40
    OUTCOME_UNKNOWN = 41


class CodeInfo(NamedTuple):
    """The HTTP status of a code and whether the request certainly did not run."""

    status: int
    not_run: bool
    meaning: str


CODE_INFO: dict[ResultCode, CodeInfo] = {
    ResultCode.COMPLETE: CodeInfo(200, False, "the answer covers every shard"),
    ResultCode.PARTIAL: CodeInfo(200, False, "the answer covers the stated share of the shards"),
    ResultCode.RECORDED: CodeInfo(200, False, "the recorded answer of an earlier sending"),
    ResultCode.BAD_REQUEST: CodeInfo(400, True, "the request is malformed"),
    ResultCode.UNKNOWN_ROUTE: CodeInfo(404, True, "no such route in the configuration in force"),
    ResultCode.HELD: CodeInfo(422, False, "this request crashed backend servers and is held"),
    ResultCode.KEY_REFUSED: CodeInfo(401, True, "the request carries no key of any team"),
    ResultCode.NOT_CONFIGURED: CodeInfo(503, True, "the node has no configuration yet"),
    ResultCode.OVERLOADED: CodeInfo(503, True, "refused by overload control before it ran"),
    ResultCode.STOPPING: CodeInfo(503, True, "the node is stopping"),
    ResultCode.NOT_RUN: CodeInfo(503, True, "the request certainly did not run"),
    ResultCode.KEY_UNCONFIRMED: CodeInfo(503, True, "the node can't tell whether the key holds"),
    ResultCode.INSUFFICIENT_COVERAGE: CodeInfo(503, False, "fewer shards answered than needed"),
    ResultCode.DEADLINE_EXCEEDED: CodeInfo(504, False, "the deadline passed without an answer"),
    ResultCode.IN_PROGRESS: CodeInfo(409, False, "another sending of this request is running"),
    ResultCode.OUTCOME_UNKNOWN: CodeInfo(
        502, False, "the request was sent; its outcome is unknown"
    ),
}
