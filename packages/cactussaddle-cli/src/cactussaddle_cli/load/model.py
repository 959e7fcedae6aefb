"""The figures of a run, as written to its JSON file."""

from __future__ import annotations

from typing import TypedDict


class LatencyFigures(TypedDict):
    """Latency in milliseconds: percentiles and the largest."""

    count: int
    ms: dict[str, float]


class RouteFigures(TypedDict):
    """What one route saw; `latency` is that of its answers."""

    priority: int
    sent: int
    codes: dict[str, int]
    latency: LatencyFigures


class Summary(TypedDict):
    """What all routes saw.

    `latency` is that of answers, `latency_all` that of refusals and failures too.
    `coverage_at_least` gives for each step the share of answers with at least that coverage.
    """

    sent: int
    codes: dict[str, int]
    latency: LatencyFigures
    latency_all: LatencyFigures
    coverage_mean: float
    coverage_at_least: dict[str, float]
    late_ms: LatencyFigures
    snapshots: dict[str, int]
    routes: dict[str, RouteFigures]


class LeafCalls(TypedDict):
    """Leaf calls that all nodes made: the first of each shard group, hedges and retries."""

    first_calls: int
    hedges: int
    retries: int


class StateBody(TypedDict):
    """What is read of a node's state dump."""

    budget: LeafCalls


class LoadResults(TypedDict):
    """A run: what was sent, when (seconds since the epoch), and what came back.

    `leaf_calls` is None when a target's state could not be read before and after.
    """

    label: str
    targets: list[str]
    mix: dict[str, float]
    rate: float
    seconds: float
    seed: int
    deadline_ms: int | None
    started: float
    tool_cpu_s: float
    leaf_calls: LeafCalls | None
    summary: Summary
