"""State of a call in progress."""

from __future__ import annotations

import trio


class ActiveCall:
    """A call in progress: its state and the cancel scope of its current step.

    `expires_at` is the latest time at which the call ends. `waiting_since` is the time at which
    the request was sent, or None when the call isn't in its first wait for a response.
    `move_pending` is set while the call is to be moved to a new connection, `moved` once it has
    been.
    """

    def __init__(self, *, scope: trio.CancelScope, expires_at: float) -> None:
        self.scope = scope
        self.expires_at = expires_at
        self.sent = False
        self.cancelled = False
        self.move_pending = False
        self.moved = False
        self.waiting_since: float | None = None

    def start_step(self, deadline: float) -> trio.CancelScope:
        """Return the scope of the next step, bounded by `deadline` and by the call's expiry."""
        self.scope = trio.CancelScope(deadline=min(deadline, self.expires_at))
        return self.scope

    def interrupt_wait(self, now: float) -> None:
        """End the first wait for a response, so that the call's connection is checked."""
        if self.waiting_since is not None:
            self.scope.deadline = min(self.scope.deadline, now)

    def expire_by(self, deadline: float) -> None:
        """Make the call end at `deadline` at the latest."""
        self.expires_at = min(self.expires_at, deadline)
        self.scope.deadline = min(self.scope.deadline, self.expires_at)
