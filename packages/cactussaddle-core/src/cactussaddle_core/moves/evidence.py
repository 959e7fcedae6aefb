"""One node's call counters for the old and the new version of a service, to be pooled.

Counters only grow, so of two snapshots of one incarnation the larger is the newer, and lost or
duplicated snapshots are harmless.
"""

from __future__ import annotations

import bisect

from typing import NamedTuple

import msgspec

SKETCH_BUCKETS = 40
SKETCH_BASE_S = 0.0005
SKETCH_FACTOR = 1.3
SKETCH_BOUNDS = tuple(SKETCH_BASE_S * SKETCH_FACTOR**i for i in range(SKETCH_BUCKETS))
SKETCH_ROTATE_S = 15.0
MIN_SKETCH_CALLS = 40
SLOW_QUANTILE = 0.9
SLOW_FACTOR = 1.3
COLD_SLOWDOWN = 3.0
COLD_CALLS = 75
EARLY_FRACTION = 1.0 / 3.0
MAX_EVIDENCE_BYTES = 12 * 1024


class Counts(NamedTuple):
    """Call counters; the first three exclude calls that failed while the leaf was cold.

    `excused` counts calls that were slower than `limit_s`, but within what a cold start allows.
    """

    calls: int = 0
    failures: int = 0
    slow: int = 0
    cold_calls: int = 0
    cold_failures: int = 0
    excused: int = 0

    def minus(self, other: Counts) -> Counts:
        """Return the increase since `other`."""
        return Counts(*(a - b for a, b in zip(self, other, strict=True)))


class LeafCounts(NamedTuple):
    """The counts of one leaf of the new version."""

    leaf: str
    counts: Counts


class RouteEvidence(NamedTuple):
    """One route's calls under a version move; `sketch` holds the old version's latencies."""

    move: str
    route: str
    old: Counts
    new: tuple[LeafCounts, ...]
    sketch: tuple[int, ...]


class Evidence(NamedTuple):
    """One node's snapshot.

    `ready` lists the version moves that the node considers done in time, `complete` the moves of
    other kinds for which it has no work left.
    """

    node: str
    incarnation: str
    routes: tuple[RouteEvidence, ...]
    ready: tuple[str, ...]
    complete: tuple[str, ...]


class Outcome(NamedTuple):
    """The result of one leaf call, as it is counted.

    `cold_factor` is the factor by which a cold start may slow the call down, 1 for a warm leaf.
    """

    ok: bool
    latency_s: float
    cold_factor: float = 1.0

    @property
    def cold(self) -> bool:
        """Whether the leaf may still be cold."""
        return self.cold_factor > 1.0


class ColdStart(NamedTuple):
    """When a leaf was first found cold under a move, and the number of its calls since."""

    since: float
    calls: int

    def cold_factor(self, max_s: float, now: float) -> float:
        """Return the factor by which a cold start may slow the leaf down.

        The factor falls with each call, but before `max_s` have passed only by `EARLY_FRACTION` of
        its range: some leaves warm up by serving calls, others over time. After both, nothing is
        excused, and a leaf that appears cold again later counts as slow.
        """
        max_progress = 1.0 if now - self.since >= max_s else EARLY_FRACTION
        progress = min(self.calls / COLD_CALLS, max_progress)
        return 1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - progress)


class Sketch:
    """A histogram of recent latencies with exponential buckets, kept in two generations."""

    def __init__(self, *, now: float) -> None:
        self.current = [0] * SKETCH_BUCKETS
        self.previous = [0] * SKETCH_BUCKETS
        self.rotated_at = now

    def add(self, latency_s: float, now: float) -> None:
        """Record one latency."""
        if now - self.rotated_at >= SKETCH_ROTATE_S and sum(self.current) >= MIN_SKETCH_CALLS:
            self.previous = self.current
            self.current = [0] * SKETCH_BUCKETS
            self.rotated_at = now
        index = bisect.bisect_left(SKETCH_BOUNDS, latency_s)
        self.current[min(index, SKETCH_BUCKETS - 1)] += 1

    def counts(self) -> tuple[int, ...]:
        """Return the bucket counts, summed over both generations."""
        return tuple(a + b for a, b in zip(self.current, self.previous, strict=True))


class RouteEvidenceTable:
    """This node's counters for one move and route."""

    def __init__(self, *, now: float) -> None:
        self.old = Counts()
        self.new: dict[str, Counts] = {}
        self.sketch = Sketch(now=now)
        self.initial_limit_s = 0.0

    def add_old(self, outcome: Outcome, limit_s: float, now: float) -> None:
        """Count a call to the old version."""
        self.old = with_outcome(self.old, outcome, limit_s)
        if outcome.ok and not outcome.cold:
            self.sketch.add(outcome.latency_s, now)

    def add_new(self, leaf: str, outcome: Outcome, limit_s: float) -> None:
        """Count a call to the new version."""
        self.new[leaf] = with_outcome(self.new.get(leaf, Counts()), outcome, limit_s)

    def snapshot(self, move: str, route: str) -> RouteEvidence:
        """Return the counters to send to the peers."""
        new = tuple(LeafCounts(leaf, counts) for leaf, counts in sorted(self.new.items()))
        return RouteEvidence(move, route, self.old, new, self.sketch.counts())


def with_outcome(counts: Counts, outcome: Outcome, limit_s: float) -> Counts:
    """Return the counts with one more call; it is slow beyond `limit_s` (0: unknown)."""
    if outcome.cold and not outcome.ok:
        return counts._replace(
            cold_calls=counts.cold_calls + 1, cold_failures=counts.cold_failures + 1
        )
    slower = 0.0 < limit_s < outcome.latency_s
    slow = slower and outcome.latency_s > limit_s * outcome.cold_factor
    return counts._replace(
        calls=counts.calls + 1,
        failures=counts.failures + (not outcome.ok),
        slow=counts.slow + slow,
        cold_calls=counts.cold_calls + outcome.cold,
        excused=counts.excused + (slower and not slow),
    )


def slow_limit_s(sketch: tuple[int, ...]) -> float:
    """Return the latency beyond which a call is slow, 0 while there are too few samples."""
    total = sum(sketch)
    if total < MIN_SKETCH_CALLS:
        return 0.0
    wanted = SLOW_QUANTILE * total
    seen = 0
    for bound, count in zip(SKETCH_BOUNDS, sketch, strict=True):
        if seen + count >= wanted:
            low = bound / SKETCH_FACTOR
            return SLOW_FACTOR * (low + (bound - low) * (wanted - seen) / count)
        seen += count
    return 0.0


def sum_sketches(sketches: list[tuple[int, ...]]) -> tuple[int, ...]:
    """Return the sum of several sketches."""
    return tuple(sum(counts) for counts in zip(*sketches, strict=True))


def encode_evidence(evidence: Evidence) -> bytes:
    """Encode a snapshot to be sent to the peers."""
    return msgspec.msgpack.encode(evidence)


def encode_within(evidence: Evidence, turn: int) -> bytes:
    """Encode a snapshot in at most `MAX_EVIDENCE_BYTES`.

    If not all routes fit, `turn` selects which of them are included, so that successive snapshots
    cover all routes.
    """
    data = encode_evidence(evidence)
    routes = evidence.routes
    while len(data) > MAX_EVIDENCE_BYTES and len(routes) > 1:
        half = (len(routes) + 1) // 2
        routes = routes[:half] if turn % 2 else routes[half:]
        turn //= 2
        data = encode_evidence(evidence._replace(routes=routes))
    return data


def decode_evidence(data: bytes) -> Evidence:
    """Decode a peer's snapshot."""
    return msgspec.msgpack.decode(data, type=Evidence)
