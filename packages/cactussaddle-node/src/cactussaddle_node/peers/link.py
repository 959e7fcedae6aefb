"""One end of a stream between two nodes, with an outbox that is sent in batches.

All queued messages are sent as one frame. On a busy node many leaf calls thus share a frame, while
on an idle node no message waits for others.
"""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core import wire

if TYPE_CHECKING:
    from collections.abc import Callable


MAX_BATCH = 128
MAX_OUTBOX = 20_000
PING_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 2.0
# Longer than one probe round among 600 nodes, in which a message arrives from every peer.
UNUSED_TIMEOUT_S = 600.0


class Link:
    """One stream, open or being opened; belongs to the asyncio loop.

    `node` is the peer's name. On an accepted stream it is empty until the peer's `Hello` arrives.
    """

    def __init__(
        self,
        *,
        node: str,
        accepted: bool,
        hello: wire.Hello,
        clock: Callable[[], float],
        on_message: Callable[[str, Any, Link], None],
    ) -> None:
        self.node = node
        self.accepted = accepted
        self.incarnation = 0
        self.closed = False
        self.sent_frames = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._clock = clock
        self._on_message = on_message
        self._outbox: list[Any] = [hello]
        self._wake = asyncio.Event()
        self._wake.set()
        self._received_at = clock()
        self._awaiting_reply = True
        self._ping_count = 0
        self._expired = asyncio.Event()
        self._pinged_at: float | None = None

    def send(self, message: Any) -> bool:
        """Queue a message; return False when the link is closed or its outbox is full."""
        if self.closed or len(self._outbox) >= MAX_OUTBOX:
            return False
        self._outbox.append(message)
        if type(message) not in wire.ANSWER_TYPES:
            self._awaiting_reply = True
        self._wake.set()
        return True

    def silent(self, now: float) -> bool:
        """Return whether pings have been unanswered for more than `SILENCE_TIMEOUT_S`."""
        return self._pinged_at is not None and now - self._pinged_at > SILENCE_TIMEOUT_S

    def check(self, now: float) -> None:
        """Send a ping if nothing was received since the last request; end a silent stream.

        Responses sent by this end aren't followed by pings, since the peer repeats a request that
        gets no response. A stream on which nothing was received for `UNUSED_TIMEOUT_S` ends too.
        Must be called every `PING_INTERVAL_S`; the transport has one timer for all its streams.
        """
        if not self._awaiting_reply:
            if now - self._received_at > UNUSED_TIMEOUT_S:
                self._expired.set()
        elif self.silent(now):
            self._expired.set()
        else:
            self._ping_count += 1
            self._outbox.append(wire.LinkPing(self._ping_count))
            self._wake.set()
            if self._pinged_at is None:
                self._pinged_at = now

    async def run(self, stream: Any) -> None:
        """Read and write until the stream ends, is cancelled, or is found silent or unused."""
        tasks = [
            asyncio.ensure_future(self._write(stream)),
            asyncio.ensure_future(self._read(stream)),
            asyncio.ensure_future(self._expired.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.closed = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _write(self, stream: Any) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._outbox:
                batch, self._outbox = self._outbox[:MAX_BATCH], self._outbox[MAX_BATCH:]
                frame = wire.encode_frame(batch)
                self.sent_frames += 1
                self.sent_bytes += len(frame)
                await stream.send_message(frame)

    async def _read(self, stream: Any) -> None:
        while True:
            frame = await stream.recv_message()
            if frame is None:
                return
            self._record_receipt()
            self.received_bytes += len(frame)
            for message in wire.decode_frame(frame):
                self._handle(message)

    def _record_receipt(self) -> None:
        self._received_at = self._clock()
        self._awaiting_reply = False
        self._pinged_at = None

    def _handle(self, message: Any) -> None:
        if isinstance(message, wire.Hello):
            self.node = message.node
            self.incarnation = message.incarnation
        elif isinstance(message, wire.LinkPing):
            self._outbox.append(wire.LinkPong(message.number))
            self._wake.set()
        elif not isinstance(message, wire.LinkPong):
            self._on_message(self.node, message, self)
