"""Reading of nodes' log lines and what they tell of a request."""

from __future__ import annotations
