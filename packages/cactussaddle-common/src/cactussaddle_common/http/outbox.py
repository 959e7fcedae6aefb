"""Writes to a non-blocking socket that never make the caller wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    import socket

    from collections.abc import Callable


class Outbox:
    """Bytes on their way out of one socket.

    What the kernel takes at once goes out at once; the rest is written by a task of `nursery` as
    the peer reads. `failed` hears of a connection that broke on the way, `drained` when all that
    had to wait has gone out.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        nursery: trio.Nursery,
        failed: Callable[[OSError], None],
        drained: Callable[[], None] | None = None,
    ) -> None:
        self._sock = sock
        self._nursery = nursery
        self._failed = failed
        self._drained = drained
        self._waiting = bytearray()

    @property
    def pending(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return len(self._waiting)

    def write(self, data: bytes) -> None:
        """Send `data` after everything written before it."""
        if self._waiting:
            self._waiting += data
            return
        sent = self._send(data)
        if sent < len(data):
            self._waiting += data[sent:]
            self._nursery.start_soon(self._flush)

    def discard(self) -> None:
        """Forget what has not gone out; the socket is being closed."""
        self._waiting.clear()

    def _send(self, data: bytes | bytearray) -> int:
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as exc:
            self._failed(exc)
            return len(data)

    async def _flush(self) -> None:
        while self._waiting:
            try:
                await trio.lowlevel.wait_writable(self._sock)
            except (trio.ClosedResourceError, OSError):
                self._waiting.clear()
                return
            del self._waiting[: self._send(self._waiting)]
        if self._drained is not None:
            self._drained()
