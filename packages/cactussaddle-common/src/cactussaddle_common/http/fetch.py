"""One exchange awaited by a task."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from cactussaddle_common.http.channel import Exchange
from cactussaddle_common.http.channel import ExchangeEnd
from cactussaddle_common.http.channel import Loss
from cactussaddle_common.http.response import MAX_BODY_BYTES

if TYPE_CHECKING:
    from cactussaddle_common.http.message import Response
    from cactussaddle_common.http.pool import Pool

NO_ROOM = ExchangeEnd(None, Loss.NOT_CONNECTED, "no connection allowed", False, 0.0)


async def fetch(
    pool: Pool, data: bytes, timeout_s: float, *, max_body_bytes: int = MAX_BODY_BYTES
) -> ExchangeEnd:
    """Send a request and wait for how it ends; after `timeout_s` its connection is closed."""
    ends: list[ExchangeEnd] = []
    done = trio.Event()

    def ended(end: ExchangeEnd) -> None:
        ends.append(end)
        done.set()

    exchange = Exchange(
        data=data, left=_ignore, accept=_accept, ended=ended, max_body_bytes=max_body_bytes
    )
    ticket = pool.start(exchange)
    if ticket is None:
        return NO_ROOM
    try:
        with trio.move_on_after(timeout_s):
            await done.wait()
    finally:
        if not ends:
            pool.cancel(ticket)
    return ends[0]


def _ignore() -> None:
    """Take no note of the request having left."""


def _accept(response: Response) -> bool:
    """Accept whatever comes on a connection that has one exchange at a time."""
    return True
