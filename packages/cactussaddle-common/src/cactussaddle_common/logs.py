"""Logging as JSON lines on stderr, based on absl.logging."""

from __future__ import annotations

import datetime
import logging as std_logging

from typing import Any

import msgspec

from absl import flags
from absl import logging

LEVELS = ("debug", "info", "warning", "error")
FIELDS_ATTRIBUTE = "event_fields"
NOISY_LOGGERS = ("httpx", "httpcore", "hpack", "hypercorn.access", "grpclib")


def encode_line(line: dict[str, Any]) -> str:
    """Encode one log line; values without a JSON representation are written as their `str()`."""
    return msgspec.json.encode(line, enc_hook=str).decode()


class JsonFormatter(std_logging.Formatter):
    """Formats a record as a JSON object with time, level, node, event and the event's fields."""

    def __init__(self, *, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the record as a JSON line."""
        when = datetime.datetime.fromtimestamp(record.created, tz=datetime.UTC)
        line: dict[str, Any] = {
            "time": when.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "node": self._node,
            "event": record.getMessage(),
        }
        line.update(getattr(record, FIELDS_ATTRIBUTE, {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return encode_line(line)


def setup(node: str, level: str = "info") -> None:
    """Configure logging as JSON lines on stderr; `level` is one of `LEVELS`."""
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter(node=node))
    logging.set_verbosity(level)
    for name in NOISY_LOGGERS:
        std_logging.getLogger(name).setLevel(std_logging.WARNING)


def debug(event: str, **fields: Any) -> None:
    """Log an event for debugging."""
    logging.debug("%s", event, extra={FIELDS_ATTRIBUTE: fields})


def log(event: str, **fields: Any) -> None:
    """Log an event at level info."""
    logging.info("%s", event, extra={FIELDS_ATTRIBUTE: fields})


def warning(event: str, **fields: Any) -> None:
    """Log an event that an operator may want to investigate."""
    logging.warning("%s", event, extra={FIELDS_ATTRIBUTE: fields})


def error(event: str, **fields: Any) -> None:
    """Log an event that requires an operator's attention."""
    logging.error("%s", event, extra={FIELDS_ATTRIBUTE: fields})


def exception(event: str, **fields: Any) -> None:
    """Log an error with the traceback of the exception being handled."""
    logging.error("%s", event, exc_info=True, extra={FIELDS_ATTRIBUTE: fields})
