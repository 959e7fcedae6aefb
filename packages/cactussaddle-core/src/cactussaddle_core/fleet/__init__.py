"""The leaves of all services: what the registry says of them and what calls have shown."""

from __future__ import annotations
