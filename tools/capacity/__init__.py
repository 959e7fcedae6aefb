"""Measures the slopes of each part and writes the tables of docs/CAPACITY.md."""

from __future__ import annotations
