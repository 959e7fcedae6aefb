"""Reloads the settings file when it changes or on request."""

from __future__ import annotations

import os

from typing import TYPE_CHECKING

import trio

from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge import logevents as log
from cactussaddle_platform.settings import SettingsError
from cactussaddle_platform.settings import read_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path
    from typing import Any

    from cactussaddle_core.edge.state import EdgeRules
    from cactussaddle_platform.settings import HostSettings

POLL_INTERVAL_S = 2.0
# Settings that take effect only at a restart.
RESTART_ONLY_SETTINGS = (
    "node",
    "ip",
    "domain",
    "callers",
    "readiness",
    "admin",
    "peer_port",
    "store",
    "limits",
)


class Reloader:
    """Watches the settings file and feeds the settings that can change at run time as an event."""

    def __init__(
        self,
        *,
        path: Path,
        cfg: HostSettings,
        rules_of: Callable[[HostSettings], EdgeRules],
        feed: Callable[[ev.Event], None],
        note: Callable[[Any], None],
    ) -> None:
        self._path = path
        self._cfg = cfg
        self._rules_of = rules_of
        self._feed = feed
        self._note = note
        self._last_stamp = self._file_stamp()

    @property
    def cfg(self) -> HostSettings:
        """The settings that were read last and are valid."""
        return self._cfg

    async def run(self) -> None:
        """Poll the file for changes until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            self.reload_changed()

    def reload_changed(self) -> None:
        """Reload the file if it has changed."""
        if self._file_stamp() != self._last_stamp:
            self.reload()

    def reload(self) -> None:
        """Read the file and apply the settings that can change at run time."""
        self._last_stamp = self._file_stamp()
        try:
            cfg = read_settings(self._path)
        except SettingsError as exc:
            self._note(log.ReloadFailed(str(exc)))
            return
        fixed = tuple(
            name for name in RESTART_ONLY_SETTINGS if getattr(cfg, name) != getattr(self._cfg, name)
        )
        self._note(log.Reloaded(fixed))
        self._cfg = cfg
        self._feed(ev.RulesChanged(self._rules_of(cfg), cfg.region_of))

    def _file_stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
