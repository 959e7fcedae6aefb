"""The planners' spreadsheet: reads it as CSV and plans the moves it requests."""

from __future__ import annotations
