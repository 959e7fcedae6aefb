"""A function that performs one exchange and waits for its result."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from cactussaddle_common.http.channel import Exchange
from cactussaddle_common.http.channel import ExchangeFailure
from cactussaddle_common.http.channel import ExchangeResult
from cactussaddle_common.http.response import MAX_BODY_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.message import Response
    from cactussaddle_common.http.pool import Pool

QUEUE_FULL = ExchangeResult(
    None, ExchangeFailure.NOT_CONNECTED, "no connection allowed", False, 0.0
)


def accept_any(response: Response) -> bool:
    """Accept any response: the connection carries one exchange at a time."""
    return True


def _ignore_sent() -> None:
    """Do nothing when the request is sent."""


async def fetch(
    pool: Pool,
    data: bytes,
    timeout_s: float,
    *,
    max_body_bytes: int = MAX_BODY_BYTES,
    single: bool = False,
    fresh: bool = False,
    accept: Callable[[Response], bool] = accept_any,
    sent: Callable[[], None] = _ignore_sent,
) -> ExchangeResult:
    """Send a request and wait for its result; after `timeout_s` its connection is closed.

    A `single` request has a connection of its own, on which no late answer to another one can come. A
    `fresh` one has a new connection, which is kept. `accept` tells the response from late answers to
    other requests. `sent` is called when the request is sent.
    """
    results: list[ExchangeResult] = []
    done = trio.Event()

    def ended(end: ExchangeResult) -> None:
        results.append(end)
        done.set()

    exchange = Exchange(
        encode=lambda: data,
        left=sent,
        accept=accept,
        ended=ended,
        max_body_bytes=max_body_bytes,
        single=single,
        identifies=single,
    )
    ticket = pool.start(exchange, fresh=single or fresh)
    if ticket is None:
        return QUEUE_FULL
    try:
        with trio.move_on_after(timeout_s):
            await done.wait()
    finally:
        if not results:
            pool.cancel(ticket)
    return results[0]
