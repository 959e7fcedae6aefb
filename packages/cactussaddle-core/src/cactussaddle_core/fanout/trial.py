"""Trial queries: of a request under which leaves went down, one leaf runs one part before the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.fanout.choose import candidates
from cactussaddle_core.fanout.sending import FIRST
from cactussaddle_core.fanout.sending import send
from cactussaddle_core.fleet.model import Availability

if TYPE_CHECKING:
    from cactussaddle_core.fanout.effects import FanoutEffect
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fanout.state import Query

TRIAL = "trial"


def start_trial(
    state: FanoutState, query: Query, services: frozenset[str], now: float
) -> list[FanoutEffect]:
    """Send one part of a query, if possible to one of the services whose leaves went down."""
    query.is_trial = True

    def preference(part: Part) -> tuple[bool, bool]:
        return not _has_ready_leaf(state, part, now), part.service not in services

    query.held_back = sorted(query.parts, key=preference)
    return send_next(state, query, now)


def send_next(state: FanoutState, query: Query, now: float) -> list[FanoutEffect]:
    """Send the next part of a trial that has a leaf, after the ones before could not be run."""
    while query.held_back:
        effects = send(state, query.held_back.pop(0), TRIAL, now)
        if effects:
            return effects
    return []


def send_rest(state: FanoutState, query: Query, now: float) -> list[FanoutEffect]:
    """Send the other parts of a trial, as a leaf has survived the first."""
    query.held_back = []
    effects: list[FanoutEffect] = []
    for part in query.unanswered:
        if not part.open_calls:
            effects += send(state, part, FIRST, now)
    return effects


def _has_ready_leaf(state: FanoutState, part: Part, now: float) -> bool:
    return any(leaf.availability is Availability.READY for leaf in candidates(state, part, now))
