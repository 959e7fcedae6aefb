"""The keys of all teams of a routing table, looked up without a comparison that leaks their bytes."""

from __future__ import annotations

import hashlib
import hmac
import secrets

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.access.credential import MAX_KEY_BYTES
from cactussaddle_core.access.credential import KeyFault
from cactussaddle_core.access.credential import key_fingerprint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.routing.model import Team

# The digests are keyed with a secret of this process, so that the time of a look-up tells nothing about
# a stored key: a caller can't choose the digest that is compared.
DIGEST_SECRET_BYTES = 32
_digest_secret = secrets.token_bytes(DIGEST_SECRET_BYTES)


class KeyMatch(NamedTuple):
    """The team that holds a key, or the reason why the key is usable for none."""

    team: Team | None
    fault: KeyFault


class UnusableKey(NamedTuple):
    """A configured key that is usable for no team, given by fingerprint, with the teams that list it."""

    fingerprint: str
    teams: tuple[str, ...]
    reason: str


class _Entry(NamedTuple):
    digest: bytes
    match: KeyMatch


class KeyBook:
    """The teams of one routing table and an index of the digests of their keys.

    `unreadable` describes the teams that could not be read; while there are any, an unknown key may be one
    of theirs. A key that two teams list is usable for none, as it does not tell whose a request is. An
    empty key, and one that is too long to be looked up, is usable for none either.
    """

    def __init__(self, *, teams: Iterable[Team], unreadable: tuple[str, ...] = ()) -> None:
        self.teams = tuple(teams)
        self.unreadable = unreadable
        self.unusable: list[UnusableKey] = []
        self._by_digest: dict[bytes, _Entry] = {}
        holders: defaultdict[bytes, dict[str, Team]] = defaultdict(dict)
        for team in self.teams:
            for key in team.keys:
                holders[key.reveal()].setdefault(team.name, team)
        for value, by_name in holders.items():
            self._add(value, by_name)

    def __repr__(self) -> str:
        return f"KeyBook({len(self.teams)} teams, {len(self._by_digest)} keys)"

    def find(self, key: bytes) -> KeyMatch:
        """Return the team that holds a key."""
        digest = _digest(key)
        entry = self._by_digest.get(digest)
        if entry is not None and hmac.compare_digest(entry.digest, digest):
            return entry.match
        return KeyMatch(None, KeyFault.UNREADABLE if self.unreadable else KeyFault.UNKNOWN)

    def _add(self, value: bytes, by_name: dict[str, Team]) -> None:
        names = tuple(sorted(by_name))
        if not value or len(value) > MAX_KEY_BYTES:
            reason = f"{len(value)} bytes long; 1 to {MAX_KEY_BYTES} are allowed"
            self.unusable.append(UnusableKey(key_fingerprint(value), names, reason))
            return
        digest = _digest(value)
        match = KeyMatch(next(iter(by_name.values())), KeyFault.NONE)
        if len(by_name) > 1:
            match = KeyMatch(None, KeyFault.SHARED)
            self.unusable.append(UnusableKey(key_fingerprint(value), names, KeyFault.SHARED.value))
        self._by_digest[digest] = _Entry(digest, match)


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, key=_digest_secret).digest()
