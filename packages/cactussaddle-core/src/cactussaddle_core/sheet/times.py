"""Parses the sheet's local dates and times; ambiguous ones are rejected."""

from __future__ import annotations

import datetime
import re
import zoneinfo

DAY_FIRST = "%d/%m/%Y"
MONTH_FIRST = "%m/%d/%Y"
NAMED_MONTH_FORMATS = ("%d %b %Y", "%d %B %Y", "%b %d %Y", "%B %d %Y", "%d-%b-%Y")
CLOCK_FORMATS = ("%H:%M", "%H:%M:%S", "%I:%M %p", "%I:%M:%S %p")
EXAMPLES = "2026-12-04 07:30, 31/12/2026 07:30 or 4 Dec 2026 07:30"
CLOCK = re.compile(
    r"(?P<date>.+?)(?:\s+|T)(?P<clock>\d{1,2}:\d{2}(?::\d{2})?(?: ?[AaPp][Mm])?)"
    r"\s*(?P<offset>Z|[+-]\d{2}:?\d{2})?"
)


def read_zone(name: str) -> zoneinfo.ZoneInfo:
    """Return a time zone such as `Europe/Dublin`; raise `ValueError` if the name is unknown."""
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError) as exc:
        message = f"unknown time zone {name!r}; such as Europe/Dublin or America/Guayaquil"
        raise ValueError(message) from exc


def read_time(text: str, zone: zoneinfo.ZoneInfo | None) -> float:
    """Return seconds since the epoch; raise `ValueError` with the reason if a text is rejected."""
    parts = CLOCK.fullmatch(text)
    if parts is None:
        raise ValueError(f"{text!r} is not a date with a time of day; such as {EXAMPLES}")
    date = read_date(parts["date"].strip())
    clock = read_clock(parts["clock"])
    local = datetime.datetime.combine(date, clock)
    if parts["offset"]:
        offset = datetime.datetime.strptime(parts["offset"], "%z").tzinfo
        return local.replace(tzinfo=offset).timestamp()
    if zone is None:
        raise ValueError("has no time zone: fill the column 'time zone' or set --time-zone")
    return local_seconds(local, zone)


def read_clock(text: str) -> datetime.time:
    """Parse a time of day."""
    spaced = re.sub(r"(?i) ?([ap]m)$", r" \1", text)
    for clock_format in CLOCK_FORMATS:
        try:
            return datetime.datetime.strptime(spaced, clock_format).time()
        except ValueError:
            continue
    raise ValueError(f"{text!r} is not a time of day")


def read_date(text: str) -> datetime.date:
    """Parse a date; raise `ValueError` if it is invalid or ambiguous."""
    if re.fullmatch(r"\d{4}-\d{2}-\d{2}", text):
        return parse_date(text, "%Y-%m-%d", text)
    if re.fullmatch(r"\d{4}/\d{2}/\d{2}", text):
        return parse_date(text, "%Y/%m/%d", text)
    numbers = re.fullmatch(r"(\d{1,2})([/.-])(\d{1,2})\2(\d{4})", text)
    if numbers is not None:
        return read_numbers(text, f"{numbers[1]}/{numbers[3]}/{numbers[4]}")
    named = re.sub(r"[,.]", " ", text)
    named = re.sub(r"\s+", " ", named).strip()
    for date_format in NAMED_MONTH_FORMATS:
        try:
            return datetime.datetime.strptime(named, date_format).date()
        except ValueError:
            continue
    raise ValueError(f"{text!r} is not a date that can be read; such as {EXAMPLES}")


def parse_date(text: str, date_format: str, shown: str) -> datetime.date:
    """Parse a date in a known format; errors quote `shown`."""
    try:
        return datetime.datetime.strptime(text, date_format).date()
    except ValueError as exc:
        raise ValueError(f"{shown!r} is not a date of the calendar") from exc


def read_numbers(text: str, slashed: str) -> datetime.date:
    """Parse a numeric date, if only one order of day and month is possible or both agree."""
    found = set()
    for date_format in (DAY_FIRST, MONTH_FIRST):
        try:
            found.add(datetime.datetime.strptime(slashed, date_format).date())
        except ValueError:
            continue
    if not found:
        raise ValueError(f"{text!r} is not a date of the calendar")
    if len(found) > 1:
        first, second = sorted(found)
        raise ValueError(f"{text!r} may mean {first} or {second}; write one of these")
    return found.pop()


def local_seconds(local: datetime.datetime, zone: zoneinfo.ZoneInfo) -> float:
    """Return seconds since the epoch; raise `ValueError` for a time skipped or repeated."""
    early = local.replace(tzinfo=zone, fold=0)
    late = local.replace(tzinfo=zone, fold=1)
    if early.utcoffset() != late.utcoffset():
        exists = early.astimezone(datetime.UTC).astimezone(zone).replace(tzinfo=None) == local
        times = "comes twice" if exists else "does not exist"
        raise ValueError(f"{local:%Y-%m-%d %H:%M} {times} in {zone.key}: the clocks change")
    return early.timestamp()
