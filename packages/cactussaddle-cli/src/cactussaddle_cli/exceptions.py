"""Exceptions that end a command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.exceptions import CactussaddleError

if TYPE_CHECKING:
    from cactussaddle_cli.exitcodes import ExitCode


class CommandError(CactussaddleError):
    """Ends a command with an exit code; `lines` say why and what is certain."""

    def __init__(self, *, code: ExitCode, lines: tuple[str, ...]) -> None:
        super().__init__("; ".join(lines))
        self.code = code
        self.lines = lines
