"""Keeps what is held for callers within the host's memory and descriptors."""

from __future__ import annotations

import resource

from collections import Counter
from typing import TYPE_CHECKING

import trio

from cactussaddle_core.callerbudget.account import Account
from cactussaddle_core.callerbudget.account import Holder
from cactussaddle_core.callerbudget.account import over_connections
from cactussaddle_core.callerbudget.rules import MIB
from cactussaddle_core.callerbudget.rules import rules_for
from cactussaddle_core.edge import logevents as log
from cactussaddle_node.memory import return_freed

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactussaddle_core.callerbudget.account import Stage
    from cactussaddle_core.callerbudget.rules import CallerBudgetRules
    from cactussaddle_node.edge.caller import CallerConnection
    from cactussaddle_platform.settings import HostLimits

REPORT_INTERVAL_S = 1.0
# Part of the budget below which a crowd that had filled it has gone.
CALM_SHARE = 0.25
CLOSED_COUNTER = "cactussaddle_callers_closed_total"
FOR_MEMORY = "memory"
FOR_CONNECTIONS = "connections"
REFUSED = "refused"


class CallerBudget:
    """The account of all callers' connections, and those that are closed to make room.

    `count` adds to a counter of the metrics for a reason, and `note` logs an event.
    """

    def __init__(
        self,
        *,
        rules: CallerBudgetRules,
        count: Callable[[str, float], None],
        note: Callable[[log.CallersClosed], None],
    ) -> None:
        self.account = Account(rules=rules)
        self._count = count
        self._note = note
        self._connections: dict[Holder, CallerConnection] = {}
        self._closed: Counter[str] = Counter()
        self._report_at = 0.0
        self._making_room = False
        # Whether memory is to be given back once the crowd has gone.
        self._was_full = False

    def join(self, connection: CallerConnection, now: float) -> Holder:
        """Add a connection to the account."""
        holder = self.account.join(now)
        self._connections[holder] = connection
        return holder

    def leave(self, holder: Holder) -> None:
        """Remove a connection that is closed."""
        self.account.leave(holder)
        del self._connections[holder]

    def hold(self, holder: Holder, held: int, served: int, stage: Stage) -> None:
        """Set what is held for a connection, and make room if that is too much in all."""
        holder.stage = stage
        account = self.account
        account.hold(holder, held, served)
        if account.held > account.rules.budget_bytes and not self._making_room:
            self._make_room()

    def may_begin(self, cost: int) -> bool:
        """Return whether there is room to serve a request of this cost."""
        return self.account.may_begin(cost)

    def refused(self) -> None:
        """Count a request that was refused for want of room."""
        self._closed[REFUSED] += 1

    def make_way(self, connections: Iterable[CallerConnection], most: int) -> bool:
        """Close connections of a full listener; return whether it may accept another one."""
        holders = [connection.holder for connection in connections]
        if len(holders) < most:
            return True
        closed = over_connections(holders, most)
        for holder in closed:
            self._connections[holder].close()
        self._closed[FOR_CONNECTIONS] += max(1, len(closed))
        return bool(closed)

    def report(self, now: float) -> None:
        """Log and count what was closed since the last report; give back memory after a crowd."""
        if now < self._report_at:
            return
        if self._was_full and self.account.held < CALM_SHARE * self.account.rules.budget_bytes:
            self._was_full = False
            self._report_at = now + REPORT_INTERVAL_S
            return_freed()
        if not self._closed:
            return
        self._report_at = now + REPORT_INTERVAL_S
        closed, self._closed = self._closed, Counter()
        for reason, number in closed.items():
            self._count(reason, number)
        held_mb = round(self.account.held / MIB, 1)
        self._note(log.CallersClosed(dict(closed), held_mb, len(self._connections)))

    def _make_room(self) -> None:
        self._making_room = self._was_full = True
        try:
            for holder in self.account.over_budget(trio.current_time()):
                connection = self._connections.get(holder)
                if connection is not None and not connection.make_room():
                    self._closed[FOR_MEMORY] += 1
        finally:
            self._making_room = False


def host_rules(limits: HostLimits) -> CallerBudgetRules:
    """Return the limits for a host; the process may be allowed fewer descriptors than the settings say."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return rules_for(limits.memory_mb * MIB, min(limits.descriptors, allowed))
