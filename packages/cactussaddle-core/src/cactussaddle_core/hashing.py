"""Stable hashes that agree between processes (xxHash, 64 bits)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


HASH_RANGE = 1 << 64


def hash64(*parts: str | bytes) -> int:
    """Return a 64-bit hash of the parts in order."""
    digest = xxhash.xxh3_64()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.intdigest()


def unit_interval(*parts: str | bytes) -> float:
    """Return a hash of the parts as a number in [0, 1)."""
    return hash64(*parts) / HASH_RANGE


def rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates ordered by highest random weight for `key`, best first."""
    return sorted(candidates, key=lambda name: (-hash64(key, name), name))
