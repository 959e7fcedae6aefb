"""Settings of the command line and what every command needs."""

from __future__ import annotations

import os

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from returns.result import Failure

from cactussaddle_common.history import BYTES_PER_MB
from cactussaddle_common.history import DEFAULT_MB
from cactussaddle_common.history import MIN_MB
from cactussaddle_common.hostlist import HostList
from cactussaddle_common.settings import Kind
from cactussaddle_common.settings import Setting
from cactussaddle_common.settings import SettingError
from cactussaddle_common.settings import add_flags
from cactussaddle_common.settings import exit_on_errors
from cactussaddle_common.settings import resolve
from cactussaddle_common.store import EtcdStore
from cactussaddle_core.sheet.times import read_zone

if TYPE_CHECKING:
    import argparse

PROG = "cactussaddle"
MS_PER_S = 1000.0

STORE = Setting("store", Kind.URL, None, "base URL of the platform's key-value service")
STORE_TIMEOUT = Setting(
    "store-timeout-ms",
    Kind.DURATION_MS,
    "2000",
    "bound of one call to the store or a node",
    low=50,
    high=60000,
)
HOST_LIST = Setting(
    "host-list", Kind.URL, "", "base URL of the platform's host list, to find nodes"
)
HTTP_PORT = Setting("http-port", Kind.PORT, "8080", "HTTP port of the nodes on the host list")
TIME_ZONE = Setting("time-zone", Kind.TEXT, "", "time zone of sheet rows that name none")
HISTORY = Setting(
    "history-mb",
    Kind.INT,
    str(DEFAULT_MB),
    "most megabytes of old revisions that the store keeps for `history`",
    low=MIN_MB,
    high=1000,
)
SETTINGS = (STORE, STORE_TIMEOUT, HOST_LIST, HTTP_PORT, TIME_ZONE, HISTORY)
NODE_SETTINGS = (STORE_TIMEOUT,)
ZONES_ALLOWED = "a name such as Europe/Dublin or America/Guayaquil"


class Context(NamedTuple):
    """The settings of one run."""

    store_url: str
    timeout_s: float
    host_list_url: str | None
    http_port: int
    time_zone: str | None
    history_bytes: int
    json: bool

    def open_store(self) -> EtcdStore:
        """Return a store client, to be opened with `async with`."""
        return EtcdStore(endpoint=self.store_url, timeout_s=self.timeout_s)

    def open_host_list(self, url: str) -> HostList:
        """Return a client of the host list, to be opened with `async with`."""
        return HostList(endpoint=url, timeout_s=self.timeout_s)


def add_common(parser: argparse.ArgumentParser, settings: tuple[Setting, ...] = SETTINGS) -> None:
    """Add the settings and `--json` to the parser of a command."""
    add_flags(parser, settings)
    parser.add_argument("--json", action="store_true", help="print JSON")


def resolve_or_exit(args: argparse.Namespace, settings: tuple[Setting, ...]) -> dict[str, Any]:
    """Return the values of settings; exit with status 2 when one is bad or missing."""
    found = resolve(settings, vars(args), os.environ)
    if isinstance(found, Failure):
        exit_on_errors(PROG, found.failure())
    values = found.unwrap()
    zone = values.get("time_zone")
    if zone is not None and not is_zone(zone):
        exit_on_errors(PROG, [SettingError(TIME_ZONE, zone, ZONES_ALLOWED)])
    return values


def is_zone(name: str) -> bool:
    """Whether a time zone of this name is known."""
    try:
        read_zone(name)
    except ValueError:
        return False
    return True


def node_timeout_s(args: argparse.Namespace) -> float:
    """Return the bound of a call to a node for a command that needs no store."""
    values = resolve_or_exit(args, NODE_SETTINGS)
    return float(values["store_timeout_ms"]) / MS_PER_S


def make_context(args: argparse.Namespace) -> Context:
    """Return the context of parsed arguments; exit with status 2 when a setting is bad."""
    values = resolve_or_exit(args, SETTINGS)
    return Context(
        store_url=values["store"],
        timeout_s=values["store_timeout_ms"] / MS_PER_S,
        host_list_url=values["host_list"],
        http_port=values["http_port"],
        time_zone=values["time_zone"],
        history_bytes=values["history_mb"] * BYTES_PER_MB,
        json=args.json,
    )
