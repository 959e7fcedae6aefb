"""Encoding of the messages between nodes (MessagePack arrays).

One frame on a stream is a list of messages, each `[type number, fields]`. A message of a type
number that this release does not know is skipped, so that releases can differ during an upgrade.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgspec

from cactussaddle_core.calls import CancelCall
from cactussaddle_core.calls import LeafCall
from cactussaddle_core.calls import LeafResult
from cactussaddle_core.gossip.model import GossipMessage
from cactussaddle_core.hold.messages import SuspectsReply
from cactussaddle_core.hold.messages import SuspectsRequest
from cactussaddle_core.membership import model as membership
from cactussaddle_core.slots.messages import PairPing
from cactussaddle_core.slots.messages import PairPong


class Hello(NamedTuple):
    """The first message of a stream: who dials."""

    node: str
    incarnation: int
    address: str


class LinkPing(NamedTuple):
    """Proof of life of a stream; the receiver answers with a `LinkPong` of the same number."""

    number: int


class LinkPong(NamedTuple):
    """The answer to a `LinkPing`."""

    number: int


class DocRequest(NamedTuple):
    """Asks for a document (`config` or `placement`) if newer than `revision`."""

    name: str
    revision: int


class DocReply(NamedTuple):
    """A document as stored, with its revision."""

    name: str
    revision: int
    data: bytes


class AttemptQuestion(NamedTuple):
    """Asks the node named in an attempt what became of it."""

    ask_id: str
    attempt: str


class AttemptAnswer(NamedTuple):
    """The answer; `state` is a `cactussaddle_core.once.AttemptState`."""

    ask_id: str
    attempt: str
    state: int
    answer: bytes


MESSAGE_TYPES: dict[int, type[Any]] = {
    1: Hello,
    2: LinkPing,
    3: LinkPong,
    4: LeafCall,
    5: LeafResult,
    6: CancelCall,
    7: DocRequest,
    8: DocReply,
    9: AttemptQuestion,
    15: AttemptAnswer,
    16: SuspectsRequest,
    17: SuspectsReply,
    10: membership.Ping,
    11: membership.Ack,
    12: membership.PingRequest,
    13: membership.Relayed,
    14: membership.Rumor,
    20: PairPing,
    21: PairPong,
    30: GossipMessage,
}


# Answers, and what needs none: whoever asked proves the life of the stream.
ANSWER_TYPES: frozenset[type[Any]] = frozenset(
    {
        LinkPong,
        LeafResult,
        DocReply,
        AttemptAnswer,
        membership.Ack,
        membership.Relayed,
        PairPong,
    }
)


_numbers: dict[type[Any], int] = {kind: number for number, kind in MESSAGE_TYPES.items()}
_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
    number: msgspec.msgpack.Decoder(kind) for number, kind in MESSAGE_TYPES.items()
}
_frame_decoder = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
_encoder = msgspec.msgpack.Encoder()


def encode_frame(messages: list[Any]) -> bytes:
    """Encode messages of registered types as one frame."""
    return _encoder.encode([(_numbers[type(message)], message) for message in messages])


def decode_frame(data: bytes) -> list[Any]:
    """Decode one frame; raise `msgspec.DecodeError` on malformed data."""
    messages = []
    for number, raw in _frame_decoder.decode(data):
        decoder = _decoders.get(number)
        if decoder is not None:
            messages.append(decoder.decode(raw))
    return messages
