"""Hints between nodes, as MessagePack in datagrams: a lost one does no harm."""

from __future__ import annotations

import socket

from typing import TYPE_CHECKING

import msgspec
import trio

from cactussaddle_core.edge import events as ev
from cactussaddle_core.fleet.hints import Hint

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType
    from typing import Self

    from cactussaddle_core.edge.effects import TellHints

READ_BYTES = 4096
# Hints go to the port after the one for other nodes' questions.
PORT_OFFSET = 1

_decoder = msgspec.msgpack.Decoder(tuple[Hint, ...])
_encoder = msgspec.msgpack.Encoder()


class HintSocket:
    """Sends and receives hints at `host`, at the port after `peer_port`."""

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

    def tell(self, effect: TellHints) -> None:
        """Send hints; what the network does not take at once is counted and dropped."""
        data = _encoder.encode(effect.hints)
        for member in effect.members:
            try:
                self._sock.sendto(data, (member.host, member.port + PORT_OFFSET))
            except OSError:
                self.unsent += 1

    async def listen(self) -> None:
        """Feed what other nodes tell until closed."""
        while True:
            try:
                await trio.lowlevel.wait_readable(self._sock)
                data = self._sock.recv(READ_BYTES)
            except trio.ClosedResourceError:
                return
            except OSError:
                continue
            try:
                hints = _decoder.decode(data)
            except (msgspec.ValidationError, msgspec.DecodeError):
                continue
            self._feed(ev.HintsHeard(hints))
