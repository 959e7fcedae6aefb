"""Exit codes of the command line; docs/RESULT-CODES.md holds the same table."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What became of a command."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    STORE_UNAVAILABLE = 3
    LOST_RACE = 4
    OUTCOME_UNKNOWN = 5
    NOT_IN_FORCE = 6
    NOT_CONFIGURED = 7
    NODE_UNREACHABLE = 8


EXIT_INFO: dict[ExitCode, str] = {
    ExitCode.OK: "done, or nothing to do",
    ExitCode.REFUSED: "a bad sheet, document or move; nothing was written",
    ExitCode.USAGE: "a bad or missing argument or setting",
    ExitCode.STORE_UNAVAILABLE: (
        "the store can't be reached; nothing was written; `report` and `status` show what the nodes"
        " know"
    ),
    ExitCode.LOST_RACE: "another operator's change came first; nothing was written",
    ExitCode.OUTCOME_UNKNOWN: "the write may have taken effect; look for its change id in history",
    ExitCode.NOT_IN_FORCE: "accepted, but not seen in force on every node in time",
    ExitCode.NOT_CONFIGURED: "there is no configuration yet",
    ExitCode.NODE_UNREACHABLE: "the node can't be reached",
}
