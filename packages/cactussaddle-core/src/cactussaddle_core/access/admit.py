"""Decides for which team a request runs, with which priority and in which regions, or refuses it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.access.credential import KeyFault
from cactussaddle_core.access.revocation import may_trust_keys
from cactussaddle_core.hashing import hash64

if TYPE_CHECKING:
    from cactussaddle_core.access.keys import KeyBook
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.routing.model import Regions
    from cactussaddle_core.routing.model import Route
    from cactussaddle_core.routing.model import Team

# Faults after which the caller may send the request again: this node can't tell whether the key holds.
UNDECIDED = frozenset({KeyFault.UNREADABLE, KeyFault.UNCONFIRMED})


class Terms(NamedTuple):
    """The terms on which a request runs.

    `team` is empty where no key decided. `regions` are those of its leaves, None for any; a leaf is told
    what the request says about keys and teams only if `passes_credential`.
    """

    team: str
    priority: int
    regions: Regions
    passes_credential: bool


class KeyTrust(NamedTuple):
    """The time at which the store confirmed the known keys, and the time after which a key must have ended."""

    confirmed_at: float
    revoke_s: float


def admit(
    keys: KeyBook | None, route: Route, request: CallerRequest, trust: KeyTrust
) -> Terms | KeyFault:
    """Return the terms of a request on a route, or why its key is refused.

    `keys` is None where the configuration names no teams.
    """
    if keys is None:
        return Terms("", route.priority, allowed_regions(route), True)
    if route.public:
        return Terms("", route.priority, allowed_regions(route), False)
    credential = request.credential
    if credential.key is None:
        return credential.fault
    if not may_trust_keys(request.sent_by, trust.confirmed_at, trust.revoke_s):
        return KeyFault.UNCONFIRMED
    team, fault = keys.find(credential.key.reveal())
    if team is None:
        return fault
    priority = route.priority if team.priority is None else team.priority
    return Terms(team.name, priority, allowed_regions(route, team), False)


def allowed_regions(route: Route, team: Team | None = None) -> Regions:
    """Return the regions whose leaves may run a request: those that route and team both allow."""
    limits = [route.regions, team.regions if team is not None else frozenset()]
    binding = [regions for regions in limits if regions]
    return frozenset.intersection(*binding) if binding else None


def identify(request: CallerRequest, terms: Terms) -> CallerRequest:
    """Return a request with its team.

    The same request of two teams is two requests, so that one team's is not held for the other's.
    """
    if request.team == terms.team:
        return request
    fingerprint = f"{hash64(request.fingerprint, terms.team):x}"
    return request._replace(team=terms.team, fingerprint=fingerprint)


def for_leaves(request: CallerRequest, terms: Terms) -> CallerRequest:
    """Return a request with the headers that leaves get."""
    withheld = request.credential.all_headers
    if withheld is None or not terms.passes_credential:
        return request
    return request._replace(headers=withheld.reveal())
