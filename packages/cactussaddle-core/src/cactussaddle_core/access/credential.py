"""What a caller's request says about its team, kept so that no key is shown by mistake."""

from __future__ import annotations

import enum
import hashlib

from typing import TYPE_CHECKING
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

if TYPE_CHECKING:
    from cactussaddle_core.fanout.model import Headers

T = TypeVar("T")

# Longer keys are refused without being looked up.
MAX_KEY_BYTES = 1024
FINGERPRINT_DIGITS = 8


class Sealed(Generic[T]):
    """A value that no text form shows, such as a key; its type is all that `repr` tells."""

    __slots__ = ("_value",)

    def __init__(self, value: T) -> None:
        self._value = value

    def __repr__(self) -> str:
        return f"Sealed({type(self._value).__name__})"

    def reveal(self) -> T:
        """Return the value; it must not be logged, dumped or shown."""
        return self._value


class KeyFault(enum.StrEnum):
    """Why a request's key is refused."""

    NONE = ""
    MISSING = "no key"
    SEVERAL = "several keys"
    MALFORMED = "malformed key"
    TOO_LONG = "key too long"
    UNKNOWN = "unknown key"
    SHARED = "key of several teams"
    UNREADABLE = "teams unreadable"
    UNCONFIRMED = "keys unconfirmed"


class Credential(NamedTuple):
    """The key that a request carries, or the fault in how it does.

    `all_headers` are the request's headers with those that name a key or a team, which its other headers
    leave out; None if there are no such headers.
    """

    key: Sealed[bytes] | None
    fault: KeyFault
    all_headers: Sealed[Headers] | None


NO_CREDENTIAL = Credential(None, KeyFault.MISSING, None)


def key_fingerprint(key: bytes) -> str:
    """Return the first digits of a key's SHA-256 digest, by which operators can recognize the key."""
    return hashlib.sha256(key).hexdigest()[:FINGERPRINT_DIGITS]


def credential_fingerprint(credential: Credential) -> str:
    """Return the fingerprint of a request's key; empty if it carries no single key."""
    return key_fingerprint(credential.key.reveal()) if credential.key is not None else ""
