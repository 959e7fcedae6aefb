"""Accepts connections and serves each in its own task."""

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

    from cactussaddle_common.tasks import TaskStarter
    from cactussaddle_node.edge.caller import CallerHooks
    from cactussaddle_node.edge.callerbudget import CallerBudget
    from cactussaddle_node.edge.guard import TaskGuard

# Delay before accepting again after the process has run out of file descriptors or memory.
DESCRIPTOR_RETRY_DELAY_S = 0.05
CLOSE_POLL_INTERVAL_S = 0.01
OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Listener:
    """A listening socket and the connections accepted on it, `most` at a time."""

    def __init__(
        self,
        *,
        sock: socket.socket,
        nursery: TaskStarter,
        guard: TaskGuard,
        hooks: Callable[[Listener], CallerHooks],
        budget: CallerBudget,
        most: int,
    ) -> None:
        self.connections: set[CallerConnection] = set()
        self._budget = budget
        self._most = most
        self._nursery = nursery
        self._guard = guard
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
        while self._sock.fileno() >= 0:
            try:
                await trio.lowlevel.wait_readable(self._sock)
                self._serve(self._sock.accept()[0])
            except trio.ClosedResourceError:
                return
            except BlockingIOError:
                continue
            except OSError as exc:
                # Other errors mean that the caller disconnected before it was accepted.
                if exc.errno in OUT_OF_DESCRIPTORS:
                    await trio.sleep(DESCRIPTOR_RETRY_DELAY_S)

    def finish_quiet(self, now: float) -> None:
        """Shut down connections that their callers don't use at present."""
        for connection in list(self.connections):
            if not connection.finishing and connection.is_quiet(now):
                connection.finish()

    def end(self, now: float, *, forced: bool) -> bool:
        """Stop accepting connections and requests; return whether it was done.

        Unless `forced`, nothing is stopped while a connection waits to be accepted, has a request
        in progress or unread data, or may be used by its caller.
        """
        if not forced and (self._accept_backlog() or self._is_used(now)):
            return False
        self.stop()
        for connection in list(self.connections):
            connection.finish()
        return True

    async def wait_closed(self) -> None:
        """Wait until all connections are closed."""
        while self.connections:
            await trio.sleep(CLOSE_POLL_INTERVAL_S)

    async def wait_written(self) -> None:
        """Wait until the answers on all connections have been written."""
        while any(connection.is_writing for connection in self.connections):
            await trio.sleep(CLOSE_POLL_INTERVAL_S)

    def close(self) -> None:
        """Close all connections at once."""
        for connection in list(self.connections):
            connection.close()

    def stop(self) -> None:
        """Close the listening socket; open connections continue."""
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()

    def _accept_backlog(self) -> bool:
        """Accept all connections in the backlog; return whether there were any."""
        count = 0
        while self._sock.fileno() >= 0:
            try:
                self._serve(self._sock.accept()[0])
            except OSError:
                break
            count += 1
        return count > 0

    def _is_used(self, now: float) -> bool:
        return any(
            _is_busy(connection) or not (connection.finishing or connection.is_quiet(now))
            for connection in self.connections
        )

    def _serve(self, sock: socket.socket) -> None:
        if len(self.connections) >= self._most and not self._make_way():
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(
            sock=sock, nursery=self._nursery, hooks=self._hooks, budget=self._budget
        )
        self.connections.add(connection)
        self._nursery.start_soon(self._guard.run_once, "connection", connection.serve)

    def _make_way(self) -> bool:
        return self._budget.make_way(self.connections, self._most)


def _is_busy(connection: CallerConnection) -> bool:
    return not connection.idle or connection.has_unread()
