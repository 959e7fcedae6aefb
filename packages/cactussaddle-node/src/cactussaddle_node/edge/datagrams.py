"""Advisory messages between nodes, as MessagePack over UDP; the loss of a datagram is harmless."""

from __future__ import annotations

import socket

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio

from cactussaddle_core.duties.events import CountsHeard
from cactussaddle_core.duties.events import HolderHeard
from cactussaddle_core.duties.model import CountsNote
from cactussaddle_core.duties.model import HolderNote
from cactussaddle_core.edge import events as ev
from cactussaddle_core.fleet.hints import Hint
from cactussaddle_core.fleet.hints import LeavingNote
from cactussaddle_core.hold.table import HoldSnapshot
from cactussaddle_core.limits.leaflimit import LimitNote
from cactussaddle_core.limits.leaflimit import TrafficReport
from cactussaddle_core.rollouts.model import LeaderUpdate

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from types import TracebackType
    from typing import Self

    from cactussaddle_core.duties.effects import SendCounts
    from cactussaddle_core.duties.effects import SendNote
    from cactussaddle_core.edge.effects import SendCrashes
    from cactussaddle_core.edge.effects import SendEvidence
    from cactussaddle_core.edge.effects import SendHints
    from cactussaddle_core.edge.effects import SendLeaderUpdate
    from cactussaddle_core.edge.effects import SendLeaving
    from cactussaddle_core.edge.effects import SendLimits
    from cactussaddle_core.edge.effects import SendTraffic
    from cactussaddle_core.spread.model import Member

MAX_DATAGRAM_BYTES = 65_536
# Datagrams use the port after the peer port, on which nodes serve each other's HTTP requests.
PORT_OFFSET = 1
HINTS = 1
CRASHES = 2
EVIDENCE = 3
NEWS = 4
LIMITS = 5
TRAFFIC = 6
LEAVING = 7
COUNTS = 20
HOLDER = 21

_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
    HINTS: msgspec.msgpack.Decoder(tuple[Hint, ...]),
    CRASHES: msgspec.msgpack.Decoder(HoldSnapshot),
    EVIDENCE: msgspec.msgpack.Decoder(bytes),
    NEWS: msgspec.msgpack.Decoder(LeaderUpdate),
    LIMITS: msgspec.msgpack.Decoder(tuple[LimitNote, ...]),
    TRAFFIC: msgspec.msgpack.Decoder(TrafficReport),
    LEAVING: msgspec.msgpack.Decoder(tuple[LeavingNote, ...]),
    COUNTS: msgspec.msgpack.Decoder(CountsNote),
    HOLDER: msgspec.msgpack.Decoder(HolderNote),
}
_events: dict[int, Callable[[Any], ev.Event]] = {
    HINTS: ev.HintsHeard,
    CRASHES: ev.CrashesHeard,
    EVIDENCE: ev.RolloutEvidenceHeard,
    NEWS: ev.RolloutNewsHeard,
    LIMITS: ev.LimitsHeard,
    TRAFFIC: ev.TrafficHeard,
    LEAVING: ev.LeavingHeard,
    COUNTS: lambda note: ev.DutyNews(CountsHeard(note)),
    HOLDER: lambda note: ev.DutyNews(HolderHeard(note)),
}


class Datagrams:
    """Sends and receives advisory messages on `host`, on the port after `peer_port`."""

    def __init__(self, *, host: str, peer_port: int, feed: Callable[[ev.Event], None]) -> None:
        self._feed = feed
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((host, peer_port + PORT_OFFSET))
        self.unsent = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()

    def send_hints(self, effect: SendHints) -> None:
        """Send hints about slow or failing leaves."""
        self._send(effect.members, HINTS, effect.hints)

    def send_crashes(self, effect: SendCrashes) -> None:
        """Send the known requests that crash leaves."""
        self._send(effect.members, CRASHES, effect.snapshot)

    def send_limits(self, effect: SendLimits) -> None:
        """Send limits that leaves have named."""
        self._send(effect.members, LIMITS, effect.notes)

    def send_traffic(self, effect: SendTraffic) -> None:
        """Send the rate of this node's requests."""
        self._send(effect.members, TRAFFIC, effect.report)

    def send_leaving(self, effect: SendLeaving) -> None:
        """Send the leaves that say that they are leaving."""
        self._send(effect.members, LEAVING, effect.notes)

    def send_evidence(self, effect: SendEvidence) -> None:
        """Send the call counts of old and new versions, the evidence for a rollout."""
        self._send(effect.members, EVIDENCE, effect.data)

    def send_news(self, effect: SendLeaderUpdate) -> None:
        """Send the rollout leader's traffic shares of new versions."""
        self._send(effect.members, NEWS, effect.news)

    def send_counts(self, effect: SendCounts) -> None:
        """Send this process's counts of the requests that began to run."""
        self._send(effect.members, COUNTS, effect.note)

    def send_holder_note(self, effect: SendNote) -> None:
        """Send a member the holder's note."""
        self._send((effect.member,), HOLDER, effect.note)

    def _send(self, members: Iterable[Member], kind: int, message: Any) -> None:
        """Send a message without blocking; a datagram that can't be sent is dropped and counted."""
        data = _encoder.encode((kind, message))
        for member in members:
            try:
                self._sock.sendto(data, (member.host, member.port + PORT_OFFSET))
            except (OSError, ValueError, OverflowError):
                self.unsent += 1

    async def listen(self) -> None:
        """Feed received messages as events until the socket is closed."""
        while True:
            try:
                await trio.lowlevel.wait_readable(self._sock)
                data = self._sock.recv(MAX_DATAGRAM_BYTES)
            except trio.ClosedResourceError:
                return
            except OSError:
                continue
            event = decode(data)
            if event is not None:
                self._feed(event)


def decode(data: bytes) -> ev.Event | None:
    """Return the event in a datagram; None when it is malformed or of an unknown kind."""
    try:
        kind, raw = _frame_decoder.decode(data)
        if kind not in _decoders:
            return None
        return _events[kind](_decoders[kind].decode(raw))
    except (msgspec.ValidationError, msgspec.DecodeError, RecursionError):
        return None
