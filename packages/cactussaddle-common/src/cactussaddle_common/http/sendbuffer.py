"""Buffered writes to a non-blocking socket that never block the caller."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

if TYPE_CHECKING:
    import socket

    from collections.abc import Callable

    from cactussaddle_common.tasks import TaskStarter


class _Kept(NamedTuple):
    """The part of some data that is not sent yet, and the size of the whole, which it keeps."""

    rest: memoryview
    size: int


class SendBuffer:
    """The send buffer of one socket.

    Data that the kernel does not accept immediately is kept, without copying it, and written by a task
    of `nursery`. `failed` is called when sending fails, `progressed` with the number of kept bytes that
    the kernel has accepted at a time, and `drained` when all of them have been sent.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        nursery: TaskStarter,
        failed: Callable[[OSError], None],
        drained: Callable[[], None] | None = None,
        progressed: Callable[[int], None] | None = None,
    ) -> None:
        self._sock = sock
        self._nursery = nursery
        self._on_error = failed
        self._on_drained = drained
        self._on_progress = progressed
        self._kept: deque[_Kept] = deque()
        # The number of bytes that the kernel has not accepted yet.
        self.pending = 0
        # The size of all data of which a part is kept.
        self.held = 0

    def write(self, data: bytes) -> None:
        """Send `data` after all data written before."""
        sent = 0 if self._kept else self._send(data)
        if sent < len(data):
            self._keep(data, sent)

    def discard(self) -> None:
        """Drop the kept data, as the socket is being closed."""
        self._kept.clear()
        self.pending = 0
        self.held = 0

    def _keep(self, data: bytes, sent: int) -> None:
        if not self._kept:
            self._nursery.start_soon(self._flush)
        self._kept.append(_Kept(memoryview(data)[sent:], len(data)))
        self.pending += len(data) - sent
        self.held += len(data)

    def _send(self, data: bytes | memoryview) -> int:
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as exc:
            self._on_error(exc)
            return len(data)

    async def _flush(self) -> None:
        try:
            await self._write_kept()
        except Exception as exc:
            self.discard()
            self._on_error(OSError(f"unexpected error: {exc!r}"))
            raise

    async def _write_kept(self) -> None:
        while self._kept:
            try:
                await trio.lowlevel.wait_writable(self._sock)
            except (trio.ClosedResourceError, OSError):
                self.discard()
                return
            if self._kept:
                self._send_kept()
        if self._on_drained is not None:
            self._on_drained()

    def _send_kept(self) -> None:
        rest, size = self._kept[0]
        count = self._send(rest)
        if not self._kept:
            # Sending failed, and the data was dropped.
            return
        self.pending -= count
        if count == len(rest):
            self._kept.popleft()
            self.held -= size
        else:
            self._kept[0] = _Kept(rest[count:], size)
        if self._on_progress is not None and self._kept:
            self._on_progress(count)
