"""Reading of single setting values; each reader raises `ValueError` for a value not allowed."""

from __future__ import annotations

import ipaddress

from typing import NamedTuple
from urllib.parse import urlsplit

HIGHEST_PORT = 65535
TRUE_WORDS = ("true", "yes", "on", "1")
FALSE_WORDS = ("false", "no", "off", "0")


class Address(NamedTuple):
    """An IP number and a port; `str()` gives `host:port`."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def range_text(low: float | None, high: float | None) -> str:
    """Say a range in words, with a leading space; empty when there is no bound."""
    if low is not None and high is not None:
        return f" from {low:g} to {high:g}"
    if low is not None:
        return f" of at least {low:g}"
    return "" if high is None else f" of at most {high:g}"


def check_range(value: float, low: float | None, high: float | None) -> None:
    """Raise `ValueError` unless the value lies within the bounds."""
    if low is not None and not value >= low:
        raise ValueError(value)
    if high is not None and not value <= high:
        raise ValueError(value)


def read_text(raw: str) -> str:
    """Read a text that is not blank."""
    if not raw.strip():
        raise ValueError(raw)
    return raw.strip()


def read_int(raw: str, low: float | None, high: float | None) -> int:
    """Read a whole number within bounds."""
    value = int(raw)
    check_range(value, low, high)
    return value


def read_float(raw: str, low: float | None, high: float | None) -> float:
    """Read a finite number within bounds."""
    value = float(raw)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(raw)
    check_range(value, low, high)
    return value


def read_choice(raw: str, choices: tuple[str, ...]) -> str:
    """Read one of the words allowed."""
    if raw not in choices:
        raise ValueError(raw)
    return raw


def read_host(raw: str) -> str:
    """Read an IP number."""
    return str(ipaddress.ip_address(raw))


def read_port(raw: str) -> int:
    """Read a port number."""
    return read_int(raw, 1, HIGHEST_PORT)


def read_address(raw: str) -> Address:
    """Read `host:port`; a version 6 host stands in square brackets."""
    host, separator, port = raw.rpartition(":")
    if not separator:
        raise ValueError(raw)
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError(raw)
    return Address(read_host(host), read_port(port))


def read_url(raw: str) -> str:
    """Read an http or https URL; a slash at the end is dropped."""
    parts = urlsplit(raw)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(raw)
    if parts.port == 0:
        raise ValueError(raw)
    return raw.rstrip("/")


def read_bool(raw: str) -> bool:
    """Read a truth value."""
    word = raw.strip().lower()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError(raw)
