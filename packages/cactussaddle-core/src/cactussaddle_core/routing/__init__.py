"""Routing of requests: the route of each, and the services and shards that serve it."""

from __future__ import annotations
