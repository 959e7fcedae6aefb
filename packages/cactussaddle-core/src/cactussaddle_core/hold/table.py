"""Table of suspects: which requests were in flight on which leaf when that leaf crashed.

A crash report names a fingerprint and one crash (a leaf and the incarnation that ended). A request
is held when two crashes count against it; a success on a leaf counts in its favour. The tables of
all nodes converge once the nodes have exchanged their snapshots.
"""

from __future__ import annotations

import enum
import math

from collections import Counter
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from cactussaddle_core.hashing import rendezvous
from cactussaddle_core.hold.messages import KnownCrash
from cactussaddle_core.hold.messages import KnownSuspect

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

HOLD_S = 600.0
PROBATION_S = 3600.0
TRIAL_TIMEOUT_S = 10.0
MAX_SUSPECTS = 4096
MAX_SUCCESSES = 16384
MAX_CRASHES = 1024
MAX_OWN_NOTES = 256
MAX_EXPORTED_SUSPECTS = 1024
SUCCESS_BEFORE_CRASH_S = 5.0
RECENT_SUCCESS_S = 600.0
MASS_WINDOW_S = 2.0
MASS_LEAVES = 4
MASS_SHARE = 0.8
HOLD_AT_CRASHES = 2


class Verdict(enum.StrEnum):
    """How a request may be run."""

    ALLOW = "allow"
    TRY_FIRST = "try first"
    TRY_ALONE = "try alone"
    HOLD = "hold"


class Strike(NamedTuple):
    """`fingerprint` was running on `leaf` when its `incarnation` ended.

    An empty fingerprint means that the leaf crashed with nothing in flight.
    """

    fingerprint: str
    leaf: str
    incarnation: str


class Crash(NamedTuple):
    """The crash of one incarnation of a leaf."""

    leaf: str
    incarnation: str


class Clearance(NamedTuple):
    """`fingerprint` succeeded after `crashes`, which no longer count against it.

    Without crashes it means that the request succeeded on other leaves at about the same time.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]


class HoldSnapshot(NamedTuple):
    """What one node sends to its peers: its own crash reports and clearances, newest last."""

    strikes: tuple[Strike, ...]
    clearances: tuple[Clearance, ...]


class Suspect:
    """What is known about one fingerprint: its crashes and when each was first reported."""

    def __init__(self) -> None:
        self.crashes: dict[Crash, float] = {}
        self.cleared: set[Crash] = set()
        self.has_succeeded = False
        self.trial_until = 0.0

    def open_crashes(self) -> list[Crash]:
        """Return the crashes that have not been cleared."""
        return [crash for crash in self.crashes if crash not in self.cleared]


def no_service(leaf: str) -> str:
    """Treat all leaves as belonging to one service."""
    return ""


class HoldTable:
    """Crash reports and clearances as one node knows them.

    `service_of` maps a leaf to its service; times are seconds of this node's monotonic clock.
    """

    def __init__(self, *, node: str, service_of: Callable[[str], str] = no_service) -> None:
        self.node = node
        self.service_of = service_of
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()
        self.crashes: OrderedDict[Crash, float] = OrderedDict()
        self.successes: OrderedDict[str, float] = OrderedDict()
        self.own: OrderedDict[Strike | Clearance, float] = OrderedDict()

    def crashed(
        self, leaf: str, incarnation: str, fingerprints: Iterable[str], now: float
    ) -> list[Strike]:
        """Record that `leaf` crashed while running `fingerprints`; return the reports to send."""
        running = sorted(set(fingerprints)) or [""]
        strikes = [Strike(fingerprint, leaf, incarnation) for fingerprint in running]
        for strike in strikes:
            self._add_report(strike, now)
            self._note(strike, now)
        return strikes

    def succeeded(self, fingerprint: str, leaf: str, now: float) -> bool:
        """Record a leaf's complete answer; return whether the snapshot changed and must be sent.

        Calls that were cancelled, refused or timed out do not count as successes.
        """
        self.successes[fingerprint] = now
        self.successes.move_to_end(fingerprint)
        _trim(self.successes, MAX_SUCCESSES)
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return False
        suspect.trial_until = 0.0
        service = self.service_of(leaf)
        survived = [
            crash for crash in suspect.open_crashes() if self.service_of(crash.leaf) == service
        ]
        if suspect.has_succeeded and not survived:
            return False
        suspect.has_succeeded = True
        suspect.cleared.update(survived)
        self._note(Clearance(fingerprint, tuple(sorted(survived))), now)
        return True

    def snapshot(self, now: float) -> HoldSnapshot:
        """Return this node's own reports and clearances to send to its peers."""
        self._expire(now)
        strikes = tuple(note for note in self.own if isinstance(note, Strike))
        clearances = tuple(note for note in self.own if isinstance(note, Clearance))
        return HoldSnapshot(strikes, clearances)

    def merge(self, snapshot: HoldSnapshot, now: float) -> bool:
        """Merge a peer's snapshot; return whether this node must send its own again."""
        noted = len(self.own)
        for strike in snapshot.strikes:
            self._add_report(strike, now)
        for clearance in snapshot.clearances:
            suspect = self.suspects.get(clearance.fingerprint)
            if suspect is not None:
                suspect.has_succeeded = True
                suspect.cleared.update(clearance.crashes)
        return len(self.own) > noted

    def known(self, now: float) -> tuple[KnownSuspect, ...]:
        """Return the newest suspects of all nodes, for a node that has just started."""
        self._expire(now)
        newest = list(self.suspects.items())[-MAX_EXPORTED_SUSPECTS:]
        return tuple(_known(fingerprint, suspect, now) for fingerprint, suspect in newest)

    def learn(self, known: Iterable[KnownSuspect], now: float) -> None:
        """Merge the suspects known to another node; entries known here are not overwritten."""
        for fingerprint, has_succeeded, crashes in known:
            suspect = self.suspects.setdefault(fingerprint, Suspect())
            suspect.has_succeeded = suspect.has_succeeded or has_succeeded
            for crash in crashes:
                name = Crash(crash.leaf, crash.incarnation)
                suspect.crashes.setdefault(name, now - crash.age_s)
                self.crashes.setdefault(name, now - crash.age_s)
                if crash.cleared:
                    suspect.cleared.add(name)
        _trim(self.suspects, MAX_SUSPECTS)
        _trim(self.crashes, MAX_CRASHES)

    def knows(self, strike: Strike) -> bool:
        """Return whether a crash report is already known."""
        suspect = self.suspects.get(strike.fingerprint)
        crash = Crash(strike.leaf, strike.incarnation)
        return crash in suspect.crashes if suspect is not None else crash in self.crashes

    def verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how `fingerprint` may run; for a request that is no suspect this is one lookup."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return Verdict.ALLOW
        self._drop_old(fingerprint, suspect, now)
        crashes = suspect.open_crashes()
        if not crashes:
            return Verdict.ALLOW
        last = max(suspect.crashes[crash] for crash in crashes)
        if now - last > HOLD_S:
            return Verdict.TRY_ALONE
        if self._weight(suspect, crashes) >= HOLD_AT_CRASHES:
            return Verdict.HOLD
        return Verdict.TRY_ALONE

    def proven(self, fingerprint: str, now: float) -> bool:
        """Return whether this node has recently seen `fingerprint` succeed on some leaf."""
        success = self.successes.get(fingerprint)
        return success is not None and now - success <= RECENT_SUCCESS_S

    def retry_after_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a held request may be retried."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return 0.0
        return max(0.0, max(suspect.crashes.values()) + HOLD_S - now)

    def implicated(self, fingerprint: str) -> tuple[str, ...]:
        """Return the services of the leaves that went down under a suspect, sorted."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return ()
        services = {self.service_of(crash.leaf) for crash in suspect.open_crashes()}
        return tuple(sorted(services - {""}))

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of a suspect's crashes that have not been cleared."""
        suspect = self.suspects.get(fingerprint)
        return len(suspect.open_crashes()) if suspect is not None else 0

    def acquit(self, fingerprint: str) -> None:
        """Clear all crashes of a suspect, since a trial has shown it to be harmless."""
        suspect = self.suspects.get(fingerprint)
        if suspect is not None:
            suspect.has_succeeded = True
            suspect.cleared.update(suspect.crashes)

    def last_crash_age_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds since the newest crash of a suspect was reported; infinite without one."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return math.inf
        return now - max(suspect.crashes.values())

    def begin_trial(self, fingerprint: str, now: float) -> bool:
        """Start the only trial of a suspect on this node; return false while another is running."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return True
        if now < suspect.trial_until:
            return False
        suspect.trial_until = now + TRIAL_TIMEOUT_S
        return True

    def end_trial(self, fingerprint: str) -> None:
        """End the trial, whatever its result."""
        suspect = self.suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial_until = 0.0

    def _weight(self, suspect: Suspect, crashes: Sequence[Crash]) -> int:
        """Return how many crashes count; for a suspect that has succeeded, the most in one service."""
        if suspect.has_succeeded:
            return max(Counter(self.service_of(crash.leaf) for crash in crashes).values())
        if self._in_mass_crash(suspect, crashes):
            return 1
        return len(crashes)

    def _in_mass_crash(self, suspect: Suspect, crashes: Sequence[Crash]) -> bool:
        """Return whether all `crashes` belong to one larger event, such as the loss of a domain.

        In such an event each leaf crashes once, and most of the leaves were not running the suspect.
        """
        first = min(suspect.crashes[crash] for crash in crashes)
        last = max(suspect.crashes[crash] for crash in crashes)
        leaves = {crash.leaf for crash in crashes}
        if last - first > MASS_WINDOW_S or len(leaves) < len(crashes):
            return False
        event = {
            crash.leaf for crash, at in self.crashes.items() if abs(at - first) <= MASS_WINDOW_S
        }
        return len(event) >= MASS_LEAVES and len(leaves) < MASS_SHARE * len(event)

    def _add_report(self, strike: Strike, now: float) -> None:
        crash = Crash(strike.leaf, strike.incarnation)
        self.crashes.setdefault(crash, now)
        _trim(self.crashes, MAX_CRASHES)
        if not strike.fingerprint:
            return
        suspect = self.suspects.setdefault(strike.fingerprint, Suspect())
        if crash in suspect.crashes:
            return
        suspect.crashes[crash] = now
        self.suspects.move_to_end(strike.fingerprint)
        _trim(self.suspects, MAX_SUSPECTS)
        success = self.successes.get(strike.fingerprint)
        if (
            success is not None
            and now - success <= SUCCESS_BEFORE_CRASH_S
            and not suspect.has_succeeded
        ):
            suspect.has_succeeded = True
            self._note(Clearance(strike.fingerprint, ()), now)

    def _note(self, note: Strike | Clearance, now: float) -> None:
        self.own[note] = now
        self.own.move_to_end(note)
        _trim(self.own, MAX_OWN_NOTES)

    def _drop_old(self, fingerprint: str, suspect: Suspect, now: float) -> None:
        for crash, at in list(suspect.crashes.items()):
            if now - at > PROBATION_S:
                del suspect.crashes[crash]
        suspect.cleared.intersection_update(suspect.crashes)
        if not suspect.crashes:
            del self.suspects[fingerprint]

    def _expire(self, now: float) -> None:
        for note, at in list(self.own.items()):
            if now - at > HOLD_S:
                del self.own[note]
        for fingerprint, suspect in list(self.suspects.items()):
            self._drop_old(fingerprint, suspect, now)


def _known(fingerprint: str, suspect: Suspect, now: float) -> KnownSuspect:
    crashes = tuple(
        KnownCrash(crash.leaf, crash.incarnation, now - at, crash in suspect.cleared)
        for crash, at in suspect.crashes.items()
    )
    return KnownSuspect(fingerprint, suspect.has_succeeded, crashes)


def trial_leaf(fingerprint: str, leaves: Iterable[str]) -> str:
    """Return the leaf on which every node tries a suspect, so that its owner sees all trials."""
    return rendezvous(fingerprint, leaves)[0]


def _trim(entries: OrderedDict[Any, Any], limit: int) -> None:
    while len(entries) > limit:
        entries.popitem(last=False)
