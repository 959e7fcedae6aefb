"""Accepts connections and serves each in a task of its own."""

from __future__ import annotations

import errno
import socket

from typing import TYPE_CHECKING

import trio

from cactussaddle_node.edge.caller import CallerConnection

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType
    from typing import Self

    from cactussaddle_node.edge.caller import CallerHooks

# Pause after descriptors have run out.
FULL_WAIT_S = 0.05
OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Listener:
    """A listening socket and the connections accepted on it."""

    def __init__(
        self,
        *,
        sock: socket.socket,
        nursery: trio.Nursery,
        hooks: Callable[[Listener], CallerHooks],
    ) -> None:
        self.connections: set[CallerConnection] = set()
        self._nursery = nursery
        self._hooks = hooks(self)
        self._sock = sock

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    async def accept(self) -> None:
        """Accept connections until stopped."""
        while True:
            try:
                await trio.lowlevel.wait_readable(self._sock)
                sock, _ = self._sock.accept()
            except trio.ClosedResourceError:
                return
            except BlockingIOError:
                continue
            except OSError as exc:
                if exc.errno in OUT_OF_DESCRIPTORS:
                    await trio.sleep(FULL_WAIT_S)
                continue
            self._serve(sock)

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def stop(self) -> None:
        """Accept no more; connections go on."""
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()

    def _serve(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(sock=sock, nursery=self._nursery, hooks=self._hooks)
        self.connections.add(connection)
        self._nursery.start_soon(connection.serve)
