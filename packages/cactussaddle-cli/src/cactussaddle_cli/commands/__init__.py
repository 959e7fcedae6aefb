"""One module a command; each has `add_parser(subparsers)`, which sets `handler`.

A handler takes the parsed arguments and returns the exit code.
"""

from __future__ import annotations
