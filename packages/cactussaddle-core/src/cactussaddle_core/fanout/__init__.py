"""A caller's request sent to one leaf of each service that it needs, and its one answer."""

from __future__ import annotations
