"""Measuring scripts; each is run as `python -m tools.NAME` and writes the tables of a docs page."""

from __future__ import annotations
