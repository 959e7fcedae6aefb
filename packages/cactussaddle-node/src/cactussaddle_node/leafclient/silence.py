"""Detection of connections to a leaf that have gone silent while new ones still work."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

import trio

from cactussaddle_core.calls import CallOutcome
from cactussaddle_node.leafclient.control import IDLE_CHECK_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_node.leafclient.connection import LeafConnection
    from cactussaddle_node.leafclient.control import ControlChannel

IDLE_CHECK_INTERVAL_S = 0.25


class SilenceDetector:
    """Detects silent connections to one leaf.

    When a connection is found silent, every connection opened before that check is treated as
    silent too, unless it delivers a response. `on_silence` is called then, so that the calls
    waiting on those connections are checked again.
    """

    def __init__(self, *, control: ControlChannel, on_silence: Callable[[], None]) -> None:
        self._control = control
        self._on_silence = on_silence
        self._lock = trio.Lock()
        self._checked_at = -math.inf
        self._silent_before = -math.inf

    def is_affected(self, conn: LeafConnection) -> bool:
        """Return whether a connection was opened before the check that last found silence."""
        return conn.opened_at < self._silent_before

    async def is_silent(self, conn: LeafConnection, *, others_waiting: bool) -> bool:
        """Return whether a connection on which a call waits too long is silent.

        The leaf's health is requested on an idle connection, at most once per
        `IDLE_CHECK_INTERVAL_S` for all calls. If no connection is idle and `others_waiting` is
        set (another call waits too long as well), a response on a new connection shows silence.
        """
        async with self._lock:
            if not self.is_affected(conn):
                await self._check(others_waiting)
            return self.is_affected(conn)

    async def _check(self, others_waiting: bool) -> None:
        started = trio.current_time()
        if started < self._checked_at + IDLE_CHECK_INTERVAL_S:
            return
        response = await self._control.idle_health()
        if response is CallOutcome.REFUSED:
            silent = others_waiting and await self._new_connection_answers()
        else:
            self._checked_at = trio.current_time()
            silent = response is CallOutcome.SILENT
        if silent:
            self._silent_before = started
            self._on_silence()

    async def _new_connection_answers(self) -> bool:
        return not isinstance(await self._control.health(IDLE_CHECK_TIMEOUT_S), CallOutcome)
