"""Limits on what a node holds for its callers, from the memory and descriptors of its host."""

from __future__ import annotations

from typing import NamedTuple

from cactussaddle_core.callerbudget.cost import CONNECTION_BYTES

MIB = 1024 * 1024
# Memory of the program itself, with the tables of a large deployment.
PROGRAM_BYTES = 64 * MIB
# Share of the other memory for all that is held for callers; what is left is for calls to leaves, and
# for the room that freed objects leave between others.
BUDGET_SHARE = 0.4
# Share of the whole memory that is granted at least, so that the smallest host serves a request.
MIN_BUDGET_SHARE = 1.0 / 16.0
# Part of the budget that requests being served may take; the rest is left to those that arrive.
SERVED_SHARE = 0.5
# Part of the budget that connections may take by themselves.
CONNECTIONS_SHARE = 0.25
# Share of the other memory for answers of leaves that have come in part.
REPLIES_SHARE = 0.25
MAX_REPLIES_BYTES = 32 * MIB
# Descriptors that the host reserves for files.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors; what is left is for leaves and the store.
CALLERS_SHARE = 0.5
PEERS_SHARE = 0.125
PAGES_SHARE = 1.0 / 64.0
MIN_CONNECTIONS = 8


class CallerBudgetRules(NamedTuple):
    """The limits of one host: bytes, and connections of callers, of other nodes and of each page."""

    budget_bytes: int
    served_bytes: int
    replies_bytes: int
    callers: int
    peers: int
    pages: int


def rules_for(memory_bytes: int, descriptors: int) -> CallerBudgetRules:
    """Return the limits for a host."""
    other = max(0, memory_bytes - PROGRAM_BYTES)
    least = int(MIN_BUDGET_SHARE * memory_bytes)
    budget = max(least, int(BUDGET_SHARE * other))
    sockets = max(0, descriptors - FILE_DESCRIPTORS)
    by_memory = int(CONNECTIONS_SHARE * budget) // CONNECTION_BYTES
    return CallerBudgetRules(
        budget_bytes=budget,
        served_bytes=int(SERVED_SHARE * budget),
        replies_bytes=min(MAX_REPLIES_BYTES, max(least, int(REPLIES_SHARE * other))),
        callers=_connections(min(int(CALLERS_SHARE * sockets), by_memory)),
        peers=_connections(int(PEERS_SHARE * sockets)),
        pages=_connections(int(PAGES_SHARE * sockets)),
    )


def _connections(count: int) -> int:
    return max(MIN_CONNECTIONS, count)
