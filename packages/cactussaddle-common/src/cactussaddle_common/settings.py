"""Typed and validated settings from command line flags and environment variables.

The setting `http-port` has the flag `--http-port`, the variable `CACTUSSADDLE_HTTP_PORT` and the key
`http_port` in the result. A flag overrides the variable, and the variable overrides the default.
"""

from __future__ import annotations

import argparse
import enum
import sys

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_common import values

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

ENV_PREFIX = "CACTUSSADDLE_"
EXIT_USAGE = 2


class Kind(enum.StrEnum):
    """The type of a setting's value."""

    TEXT = "text"
    INT = "int"
    FLOAT = "float"
    CHOICE = "choice"
    HOST = "host"
    PORT = "port"
    ADDRESS = "address"
    URL = "url"
    DURATION_MS = "duration-ms"
    BOOL = "bool"


class Setting(NamedTuple):
    """The declaration of a setting.

    A setting whose `default` is None is required. `low` and `high` are the inclusive bounds of an
    INT, FLOAT or DURATION_MS (milliseconds); `choices` are the allowed values of a CHOICE.
    """

    name: str
    kind: Kind
    default: str | None
    help: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()

    @property
    def flag(self) -> str:
        """Return the command line flag."""
        return f"--{self.name}"

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return ENV_PREFIX + self.key.upper()

    @property
    def key(self) -> str:
        """Return the key of the setting in the result of `parse`."""
        return self.name.replace("-", "_")


class SettingError(NamedTuple):
    """A required setting that is missing, or a setting with an invalid value."""

    setting: Setting
    value: str | None
    allowed: str

    def __str__(self) -> str:
        name = f"{self.setting.flag} ({self.setting.variable})"
        if self.value is None:
            return f"{name}: missing; allowed: {self.allowed}"
        return f"{name}: bad value {self.value!r}; allowed: {self.allowed}"


def allowed_text(setting: Setting) -> str:
    """Describe the values that a setting accepts."""
    if setting.kind is Kind.CHOICE:
        return "one of " + ", ".join(setting.choices)
    descriptions = {
        Kind.TEXT: "non-empty text",
        Kind.HOST: "an IP address such as 127.0.0.1",
        Kind.PORT: "a whole number from 1 to 65535",
        Kind.ADDRESS: "an IP address and port such as 127.0.0.1:8000",
        Kind.URL: "a URL such as http://127.0.0.1:2379",
        Kind.BOOL: "true or false",
    }
    if setting.kind in descriptions:
        return descriptions[setting.kind]
    numeric = {Kind.INT: "a whole number", Kind.DURATION_MS: "whole milliseconds"}
    return numeric.get(setting.kind, "a number") + values.range_text(setting.low, setting.high)


def convert(setting: Setting, text: str) -> Result[Any, SettingError]:
    """Parse the text of a setting's value."""
    parsers: dict[Kind, Callable[[str], Any]] = {
        Kind.TEXT: values.parse_text,
        Kind.INT: lambda raw: values.parse_int(raw, setting.low, setting.high),
        Kind.FLOAT: lambda raw: values.parse_float(raw, setting.low, setting.high),
        Kind.CHOICE: lambda raw: values.parse_choice(raw, setting.choices),
        Kind.HOST: values.parse_host,
        Kind.PORT: values.parse_port,
        Kind.ADDRESS: values.parse_address,
        Kind.URL: values.parse_url,
        Kind.DURATION_MS: lambda raw: values.parse_int(raw, setting.low, setting.high),
        Kind.BOOL: values.parse_bool,
    }
    try:
        return Success(parsers[setting.kind](text))
    except ValueError:
        return Failure(SettingError(setting, text, allowed_text(setting)))


def add_flags(parser: argparse.ArgumentParser, settings: Sequence[Setting]) -> None:
    """Add a flag for each setting to the parser."""
    for setting in settings:
        default = "required" if setting.default is None else f"default {setting.default!r}"
        parser.add_argument(
            setting.flag,
            dest=setting.key,
            default=None,
            metavar=setting.kind.upper(),
            help=f"{setting.help} [{setting.variable}; {default}; {allowed_text(setting)}]".replace(
                "%", "%%"
            ),
        )


def resolve(
    settings: Sequence[Setting], flags: Mapping[str, Any], environ: Mapping[str, str]
) -> Result[dict[str, Any], tuple[SettingError, ...]]:
    """Determine the value of each setting; on failure all errors are returned."""
    found: dict[str, Any] = {}
    errors: list[SettingError] = []
    for setting in settings:
        raw = flags.get(setting.key)
        if raw is None:
            raw = environ.get(setting.variable)
        if raw is None:
            raw = setting.default
        if raw is None:
            errors.append(SettingError(setting, None, allowed_text(setting)))
            continue
        if raw == "" and setting.default == "":
            found[setting.key] = None
            continue
        match convert(setting, raw):
            case Success(value):
                found[setting.key] = value
            case Failure(error):
                errors.append(error)
    return Failure(tuple(errors)) if errors else Success(found)


def exit_on_errors(prog: str, errors: Sequence[SettingError]) -> None:
    """Print all errors to stderr and exit with status 2."""
    for error in errors:
        print(f"{prog}: {error}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def parse(
    prog: str,
    description: str,
    settings: Sequence[Setting],
    argv: Sequence[str],
    environ: Mapping[str, str],
) -> dict[str, Any]:
    """Return the values of all settings by key; exit with status 2 if any is invalid or missing.

    A setting whose default is the empty string is optional; its value is None if it is not given.
    """
    parser = argparse.ArgumentParser(prog=prog, description=description, allow_abbrev=False)
    add_flags(parser, settings)
    flags = vars(parser.parse_args(argv))
    outcome = resolve(settings, flags, environ)
    if isinstance(outcome, Failure):
        exit_on_errors(prog, outcome.failure())
    return outcome.unwrap()
