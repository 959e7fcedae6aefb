"""Frames on a plain trio stream, each behind its length of four bytes (a way weighed, not used)."""

from __future__ import annotations

import struct

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trio.abc import Stream

LENGTH = struct.Struct(">I")


class FrameStream:
    """Sends and receives frames."""

    def __init__(self, *, stream: Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def send(self, frame: bytes) -> None:
        """Send one frame."""
        await self._stream.send_all(LENGTH.pack(len(frame)) + frame)

    async def receive(self) -> bytes | None:
        """Return the next frame, None at the end of the stream."""
        while True:
            if len(self._buffer) >= LENGTH.size:
                (size,) = LENGTH.unpack_from(self._buffer)
                end = LENGTH.size + size
                if len(self._buffer) >= end:
                    frame = bytes(self._buffer[LENGTH.size : end])
                    del self._buffer[:end]
                    return frame
            data = await self._stream.receive_some(262144)
            if not data:
                return None
            self._buffer += data
