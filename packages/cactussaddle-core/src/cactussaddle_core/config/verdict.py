"""Final verdicts of moves, and the state of a move as reports show it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

import msgspec

from cactussaddle_core.config.model import MoveState
from cactussaddle_core.exceptions import ConfigError

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Move

VERDICT_PREFIX = "/cactussaddle/moves/"


class Verdict(TypedDict):
    """The final verdict of a move, written once.

    `state` is "done" or "taken back", `at` is in seconds since the epoch, and `node` names the
    writer. `row` describes the move, for reports after it has been removed from the plan.
    """

    state: str
    at: float
    reason: str
    node: str
    row: NotRequired[str]


class MoveStatus(NamedTuple):
    """The state of a move; `at` is when it entered that state, in seconds since the epoch."""

    state: MoveState
    at: float
    reason: str

    @property
    def final(self) -> bool:
        """Return whether the state is final."""
        return self.state in (MoveState.DONE, MoveState.TAKEN_BACK)


def row_text(move: Move) -> str:
    """Return a short description of a move, such as "version renewals 2.0"."""
    return f"{move['kind']} {move['target']} {move.get('version', '')}".rstrip()


def verdict_key(move_id: str) -> str:
    """Return the store key of a move's verdict."""
    return VERDICT_PREFIX + move_id


def decode_verdict(data: bytes) -> Verdict:
    """Decode a stored verdict; raise `ConfigError` if it is malformed or not final."""
    try:
        verdict = msgspec.json.decode(data, type=Verdict)
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise ConfigError(f"verdict: {exc}") from exc
    if verdict["state"] not in (MoveState.DONE, MoveState.TAKEN_BACK):
        raise ConfigError(f"verdict: {verdict['state']!r} is not a final state")
    return verdict


def move_status(move: Move, verdict: Verdict | None, wall: float) -> MoveStatus:
    """Return a move's state, from its verdict if there is one, otherwise from its times.

    Without a verdict, a move past its finish is still under way, since its outcome is not final.
    """
    if verdict is not None:
        return MoveStatus(MoveState(verdict["state"]), verdict["at"], verdict["reason"])
    if wall < move["start"]:
        return MoveStatus(MoveState.PENDING, move["start"], "starts at the time shown")
    if wall < move["finish"]:
        return MoveStatus(MoveState.UNDER_WAY, move["start"], "by the clock; no verdict yet")
    return MoveStatus(MoveState.UNDER_WAY, move["start"], "its finish has passed; no verdict yet")
