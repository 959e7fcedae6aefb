"""A node that answers on real connections, for tests of what it does with them."""

from __future__ import annotations

import unittest

from typing import TYPE_CHECKING

import trio

from cactussaddle_common.http.message import OutgoingResponse
from cactussaddle_core.callerbudget.rules import MIB
from cactussaddle_core.callerbudget.rules import CallerBudgetRules
from cactussaddle_core.callerbudget.rules import rules_for
from cactussaddle_core.routing.model import CallerLimits
from cactussaddle_node.edge.caller import QUIET_S
from cactussaddle_node.edge.caller import CallerConnection
from cactussaddle_node.edge.caller import CallerHooks
from cactussaddle_node.edge.caller import Dropped
from cactussaddle_node.edge.callerbudget import CallerBudget
from cactussaddle_node.edge.guard import GuardedNursery
from cactussaddle_node.edge.guard import TaskGuard
from cactussaddle_node.edge.listener import Listener
from cactussaddle_node.startup import listen

if TYPE_CHECKING:
    from cactussaddle_core.edge.logevents import CallersClosed

LIMITS = CallerLimits(
    max_header_bytes=1000, max_body_bytes=100, header_timeout_s=0.2, idle_timeout_s=0.4
)
ROOMY = rules_for(300 * MIB, 4100)


class Node:
    """Receives requests and answers them at once, or when the test calls `answer`."""

    def __init__(
        self,
        *,
        at_once: bool = True,
        rules: CallerBudgetRules = ROOMY,
        limits: CallerLimits = LIMITS,
    ) -> None:
        self.at_once = at_once
        self.limits = limits
        self.closed: list[CallersClosed] = []
        self.budget = CallerBudget(
            rules=rules, count=lambda reason, number: None, note=self.closed.append
        )
        self.stopping = False
        self.arrived: list[tuple[int, CallerConnection, object]] = []
        self.gone: list[int] = []
        self.dropped: list[Dropped] = []
        self.unread = 0
        self.port = 0
        self.errors: list[tuple[str, str, str]] = []
        self._next = 0

    def hooks(self, listener) -> CallerHooks:
        return CallerHooks(
            next_request_number=self.take_id,
            request_received=self.take,
            caller_disconnected=self.gone.append,
            data_dropped=self.dropped.append,
            data_unread=self._take_unread,
            ended=listener.connections.discard,
            stopping=lambda: self.stopping,
            limits=lambda: self.limits,
        )

    def take_id(self) -> int:
        self._next += 1
        return self._next

    def take(self, number, connection, request) -> None:
        self.arrived.append((number, connection, request))
        if request.head.target == b"/bad":
            raise RuntimeError("a fault of the program")
        if self.at_once:
            connection.answer(number, OutgoingResponse(200, (), request.head.target))

    def _take_unread(self) -> None:
        self.unread += 1

    def report(self, task: str, error: str, place: str) -> None:
        self.errors.append((task, error, place))

    def answer(self, index: int, body: bytes) -> None:
        number, connection, _ = self.arrived[index]
        connection.answer(number, OutgoingResponse(200, (), body))


def roomy_budget() -> CallerBudget:
    """Return the budget of a host with room for all."""
    return CallerBudget(rules=ROOMY, count=lambda reason, number: None, note=lambda event: None)


class ConnectionTest(unittest.TestCase):
    def run_node(
        self, body, *, at_once: bool = True, rules: CallerBudgetRules = ROOMY, limits=LIMITS
    ):
        async def main():
            node = Node(at_once=at_once, rules=rules, limits=limits)
            async with trio.open_nursery() as nursery:
                sock = listen("127.0.0.1", 0)
                port = node.port = sock.getsockname()[1]
                guard = TaskGuard(report=node.report)
                listener = Listener(
                    sock=sock,
                    nursery=GuardedNursery(nursery=nursery, guard=guard),
                    guard=guard,
                    hooks=node.hooks,
                    budget=node.budget,
                    most=node.budget.account.rules.callers,
                )
                nursery.start_soon(listener.accept)
                with listener:
                    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                        with trio.fail_after(5.0):
                            await body(node, listener, stream)
                for connection in list(listener.connections):
                    connection.close()
                nursery.cancel_scope.cancel()

        trio.run(main)


def later() -> float:
    """Return a time at which a connection that is idle now is quiet."""
    return trio.current_time() + 2.0 * QUIET_S


def send_now(stream, data: bytes) -> None:
    """Send without yielding to other tasks."""
    stream.socket._sock.send(data)


async def drip(stream, start: bytes) -> None:
    """Send `start`, then one byte at a time, 20 per second."""
    try:
        await stream.send_all(start)
        while True:
            await trio.sleep(0.05)
            await stream.send_all(b"a")
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def read_until(stream, end: bytes) -> bytes:
    data = b""
    while end not in data:
        piece = await stream.receive_some()
        if not piece:
            break
        data += piece
    return data


async def wait_for(condition) -> None:
    while not condition():
        await trio.sleep(0.005)
