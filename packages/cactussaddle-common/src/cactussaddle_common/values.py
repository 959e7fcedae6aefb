"""Parsing of setting values; each function raises `ValueError` if the value is invalid."""

from __future__ import annotations

import ipaddress

from typing import NamedTuple
from urllib.parse import urlsplit

MAX_PORT = 65535
TRUE_WORDS = ("true", "yes", "on", "1")
FALSE_WORDS = ("false", "no", "off", "0")


class Address(NamedTuple):
    """An IP address and a port; `str()` returns `host:port`."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def range_text(low: float | None, high: float | None) -> str:
    """Describe a range in words, with a leading space; empty if there is no bound."""
    if low is not None and high is not None:
        return f" from {low:g} to {high:g}"
    if low is not None:
        return f" of at least {low:g}"
    return "" if high is None else f" of at most {high:g}"


def check_range(value: float, low: float | None, high: float | None) -> None:
    """Raise `ValueError` if the value is outside the inclusive bounds."""
    if low is not None and not value >= low:
        raise ValueError(value)
    if high is not None and not value <= high:
        raise ValueError(value)


def parse_text(raw: str) -> str:
    """Return the text without surrounding whitespace; blank text is invalid."""
    if not raw.strip():
        raise ValueError(raw)
    return raw.strip()


def parse_int(raw: str, low: float | None, high: float | None) -> int:
    """Parse an integer within bounds."""
    value = int(raw)
    check_range(value, low, high)
    return value


def parse_float(raw: str, low: float | None, high: float | None) -> float:
    """Parse a finite number within bounds."""
    value = float(raw)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(raw)
    check_range(value, low, high)
    return value


def parse_choice(raw: str, choices: tuple[str, ...]) -> str:
    """Check that the text is one of the choices."""
    if raw not in choices:
        raise ValueError(raw)
    return raw


def parse_host(raw: str) -> str:
    """Parse an IP address and return its canonical form."""
    return str(ipaddress.ip_address(raw))


def parse_port(raw: str) -> int:
    """Parse a port number."""
    return parse_int(raw, 1, MAX_PORT)


def parse_address(raw: str) -> Address:
    """Parse `host:port`; an IPv6 address must be in square brackets."""
    host, separator, port = raw.rpartition(":")
    if not separator:
        raise ValueError(raw)
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError(raw)
    return Address(parse_host(host), parse_port(port))


def parse_url(raw: str) -> str:
    """Check an http or https URL and remove trailing slashes."""
    parts = urlsplit(raw)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(raw)
    if parts.port == 0:
        raise ValueError(raw)
    return raw.rstrip("/")


def parse_bool(raw: str) -> bool:
    """Parse a Boolean."""
    word = raw.strip().lower()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError(raw)
