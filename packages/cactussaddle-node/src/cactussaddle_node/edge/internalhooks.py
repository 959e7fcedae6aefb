"""Callbacks of listeners that serve other nodes and operators, where nothing waits for a caller."""

from __future__ import annotations

import itertools

from typing import TYPE_CHECKING

from cactussaddle_core.routing.model import DEFAULT_CALLER_LIMITS
from cactussaddle_node.edge.caller import CallerHooks

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.requestreader import IncomingRequest
    from cactussaddle_core.routing.model import CallerLimits
    from cactussaddle_node.edge.caller import CallerConnection
    from cactussaddle_node.edge.caller import Dropped
    from cactussaddle_node.edge.listener import Listener


def internal_hooks(
    listener: Listener,
    request_received: Callable[[int, CallerConnection, IncomingRequest], None],
    *,
    limits: CallerLimits = DEFAULT_CALLER_LIMITS,
    disconnected: Callable[[int], None] | None = None,
) -> CallerHooks:
    """Return the callbacks for connections on a listener whose requests go to `request_received`.

    `disconnected`, if given, is called for a request in progress whose connection was closed.
    """
    numbers = itertools.count(1)
    return CallerHooks(
        next_request_number=lambda: next(numbers),
        request_received=request_received,
        caller_disconnected=disconnected or _ignore_disconnect,
        data_dropped=_ignore_dropped,
        data_unread=_ignore_unread,
        ended=listener.connections.discard,
        stopping=_never,
        limits=lambda: limits,
    )


def _ignore_disconnect(number: int) -> None:
    """Do nothing: an answer to a closed connection is dropped with it."""


def _ignore_dropped(dropped: Dropped) -> None:
    """Do nothing: nodes and operators ask again."""


def _ignore_unread() -> None:
    """Do nothing: nodes and operators ask again."""


def _never() -> bool:
    return False
