"""Whether a call leaves this node's failure domain or region.

Traffic between domains is slower and costs money. A caller gains from a call that leaves only if the call
makes the difference between an answer in time and a late one, or a late answer much sooner. So the
nearest leaf is kept while the time left is a safe multiple of the work expected there; a part of a gather
that ends in time does not make the answer later, however long its leaf takes. What leaves is
bounded by the free room where it goes, of which some is kept for that domain's own callers.
"""

from __future__ import annotations

import enum

from collections import Counter
from typing import NamedTuple

from cactussaddle_core.edge.logevents import CallsLeftDomain

# A nearer leaf is kept while this multiple of the work expected there fits into the time left: a call that
# takes longer is hedged.
SAFE_SLACK = 1.5
# A farther leaf has to have so many times the slack of the nearer one.
SLACK_GAIN = 1.5
# Once calls have left, they return only when the nearer leaf is safe by this factor.
RETURN_FACTOR = 1.25
# The other domain's callers can bear a queue while this multiple of their time fits into the objective.
BEARABLE_SLACK = 2.0
# If the answer will be late either way, a call leaves only to save this fraction of the objective.
LATE_SAVING_FRACTION = 0.5
# A large answer has to save more time: so much for each byte that is sent over the distance.
SAVING_S_PER_BYTE = 1e-6
# A call that will be late anyway leaves only if this part of the slots stays free. Another one leaves for a
# free slot, or, if it can't be in time here, for a queue that the callers there can well bear.
RESERVED_FRACTION = 0.25
# Calls that left are logged this often.
REPORT_INTERVAL_S = 10.0
MIN_WORK_S = 0.0001
# A leaf whose expected cost is higher than this can't be used now, which no saving is compared with.
UNUSABLE_S = 5.0


class Distance(enum.IntEnum):
    """Where a leaf is, seen from this node."""

    OWN = 0
    REGION = 1
    BEYOND = 2


class Reason(enum.StrEnum):
    """Why a call goes where it goes."""

    NEAREST = "nearest"
    IN_TIME = "in time only there"
    SOONER = "late but sooner there"
    UNUSABLE = "no nearer leaf usable"


class Offer(NamedTuple):
    """The best leaf at one distance: its expected time, its slots and those likely to be free.

    The time includes `rtt_s`, the round trip and the setup of a connection if there is none, and what the
    leaf's problems are expected to cost.
    """

    expected_s: float
    rtt_s: float
    free: float
    slots: int


class Need(NamedTuple):
    """What the caller of a call needs.

    `left_s` is the time until the answer is due, `answer_bytes` the expected size of a leaf's answer. `has_left`
    is set if the last such call has left.
    """

    left_s: float
    objective_s: float
    answer_bytes: float
    has_left: bool


def leaving(near: Offer, far: Offer, need: Need) -> Reason | None:
    """Return why a call should go to the farther leaf, or None if it should not."""
    saved_s = near.expected_s - far.expected_s
    if saved_s <= need.answer_bytes * SAVING_S_PER_BYTE:
        return None
    if near.expected_s >= UNUSABLE_S > far.expected_s:
        return Reason.UNUSABLE
    if far.expected_s > need.left_s:
        is_much_sooner = saved_s >= LATE_SAVING_FRACTION * need.objective_s
        has_room = far.free >= 1.0 + RESERVED_FRACTION * far.slots
        return Reason.SOONER if is_much_sooner and has_room else None
    if is_safe(near, need) or _slack(far, need) < SLACK_GAIN * _slack(near, need):
        return None
    return Reason.IN_TIME if _has_room(near, far, need) else None


def is_safe(near: Offer, need: Need) -> bool:
    """Return whether a leaf is kept whatever farther ones there are."""
    return _slack(near, need) >= SAFE_SLACK * (RETURN_FACTOR if need.has_left else 1.0)


def _slack(offer: Offer, need: Need) -> float:
    """Return how many times the expected work at a leaf fits into the time left after the round trip."""
    return (need.left_s - offer.rtt_s) / max(offer.expected_s - offer.rtt_s, MIN_WORK_S)


def _has_room(near: Offer, far: Offer, need: Need) -> bool:
    """Return whether the farther leaf can take a call without harm to the callers that it is near to."""
    if far.free >= 1.0:
        return True
    there_s = far.expected_s - far.rtt_s
    return near.expected_s > need.left_s and BEARABLE_SLACK * there_s <= need.objective_s


class Leavings:
    """The services whose last first call has left, by route, and counts of calls by distance and reason."""

    def __init__(self) -> None:
        self.calls: Counter[tuple[Distance, Reason]] = Counter()
        self.bytes: Counter[Distance] = Counter()
        self.switches = 0
        self._reported: Counter[str] = Counter()
        self._report_at = 0.0
        self._away: set[tuple[str, str]] = set()

    def has_left(self, route: str, service: str) -> bool:
        """Return whether the route's last first call of a service has left the nearest leaf."""
        return (route, service) in self._away

    def chosen(self, route: str, service: str, reason: Reason) -> None:
        """Record where a first call goes."""
        key = (route, service)
        is_away = reason is not Reason.NEAREST
        if is_away is (key in self._away):
            return
        self.switches += 1
        if is_away:
            self._away.add(key)
        else:
            self._away.discard(key)

    def sent(self, distance: Distance, reason: Reason, total_bytes: float) -> None:
        """Count a call to another domain and the bytes that it is expected to send there and back."""
        self.calls[distance, reason] += 1
        self.bytes[distance] += round(total_bytes)

    def take_report(self, now: float) -> CallsLeftDomain | None:
        """Return the calls that have left a nearer leaf since the last report, if one is due."""
        if now < self._report_at:
            return None
        self._report_at = now + REPORT_INTERVAL_S
        total: Counter[str] = Counter()
        for (_, reason), count in self.calls.items():
            if reason is not Reason.NEAREST:
                total[reason.value] += count
        since = total - self._reported
        self._reported = total
        return CallsLeftDomain(dict(since), self.switches) if since else None
