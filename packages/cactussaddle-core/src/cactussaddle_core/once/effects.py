"""Effects of the at-most-once reducer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.codes import ResultCode
    from cactussaddle_core.once.events import AttemptState


class RecordWrite(NamedTuple):
    """Put `value` if the key's modification revision is `expect_revision` (0: does not exist).

    Otherwise the reply is the existing record with its revision.
    """

    key: str
    expect_revision: int
    value: bytes


class WriteIntents(NamedTuple):
    """Write a batch in one transaction; report as `IntentsWritten`."""

    batch_id: int
    writes: tuple[RecordWrite, ...]


class WriteOutcomes(NamedTuple):
    """Write a batch in one transaction; report as `OutcomesWritten`."""

    batch_id: int
    writes: tuple[RecordWrite, ...]


class Dispatch(NamedTuple):
    """Send the request to one leaf, now; report as `LeafAnswered`. `deadline` as submitted."""

    req_id: str
    key: str
    attempt: str
    try_no: int
    deadline: float


class AskPeer(NamedTuple):
    """Ask `node` for the state of `attempt`; report as `PeerAttemptReply`."""

    ask_id: str
    node: str
    incarnation: str
    attempt: str


class ReplyAttempt(NamedTuple):
    """Reply to a peer's `AttemptAsked`."""

    peer: str
    ask_id: str
    attempt: str
    state: AttemptState
    answer: bytes = b""


class Answer(NamedTuple):
    """Answer a caller. `answer` is a leaf's answer, empty for refusals and answers not kept."""

    req_id: str
    code: ResultCode
    answer: bytes = b""
    retry_after_s: float = 0.0
    message: str = ""


Effect = WriteIntents | WriteOutcomes | Dispatch | AskPeer | ReplyAttempt | Answer
