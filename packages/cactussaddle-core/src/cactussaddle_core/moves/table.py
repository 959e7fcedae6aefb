"""One node's state of all moves."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.config.model import EMPTY_CONFIG
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.config.verdict import MoveStatus
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.moves.pace import too_short_reason
from cactussaddle_core.moves.versions import FULL_SHARE
from cactussaddle_core.moves.versions import TYPICAL_PACE
from cactussaddle_core.moves.versions import planned_share
from cactussaddle_core.moves.versions import version_moves
from cactussaddle_core.moves.versions import weights

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Config
    from cactussaddle_core.config.model import Move
    from cactussaddle_core.moves.evidence import ColdStart
    from cactussaddle_core.moves.evidence import Evidence
    from cactussaddle_core.moves.evidence import RouteEvidenceTable
    from cactussaddle_core.moves.pool import MovePool
    from cactussaddle_core.moves.versions import Pace

SYNC_WAIT_S = 3.0
MAX_SEND_AFTER_LATCH_S = 5.0
PREPARE_S = 60.0


class Latch(NamedTuple):
    """Marks a version move's new version as bad, for good. `wall` is seconds since the epoch."""

    move: str
    reason: str
    node: str
    wall: float


class MoveTable:
    """Evidence, latches and final states of the moves.

    `incarnation` must be different each time the node starts. With `repeats_evidence` unchanged
    evidence is sent again and again, as messages may be lost.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: str = "",
        pace: Pace = TYPICAL_PACE,
        repeats_evidence: bool = False,
    ) -> None:
        self.node = node
        self.repeats_evidence = repeats_evidence
        self.pace = pace
        self.incarnation = incarnation
        self.cfg: Config = EMPTY_CONFIG
        self.members: tuple[str, ...] = ()
        self.synced = False
        self.sync_until: float | None = None
        self.finals: dict[str, MoveState] = {}
        self.latches: dict[str, Latch] = {}
        self.latched_at: dict[str, float] = {}
        self.own: dict[tuple[str, str], RouteEvidenceTable] = {}
        self.cold_starts: dict[tuple[str, str], ColdStart] = {}
        self.pools: dict[str, MovePool] = {}
        self.snapshots: dict[str, Evidence] = {}
        self.full_since: dict[str, float] = {}
        self.ready: set[str] = set()
        self.complete: set[str] = set()
        self.record_at: dict[str, float] = {}
        self.last_put_at = float("-inf")
        self.puts = 0
        self.last_put: Evidence | None = None

    def share(self, service: str, wall: float) -> dict[str, float]:
        """Return the weight of each version of a service; the weights sum to 1."""

        def share_of(move: Move) -> float:
            return self.share_of(move, wall)

        return weights(self.cfg, service, share_of)

    def share_of(self, move: Move, wall: float) -> float:
        """Return the traffic share of a move's new version; older versions get the rest."""
        name = move["id"]
        final = self.finals.get(name)
        if name in self.latches or final is MoveState.TAKEN_BACK:
            return 0.0
        if final is MoveState.DONE:
            return 1.0
        if wall < move["start"] or not self.synced:
            return 0.0
        if wall >= move["finish"]:
            return FULL_SHARE if name in self.ready else 0.0
        pool = self.pools.get(name)
        if pool is None:
            return 0.0
        return min(planned_share(move, wall, self.pace), pool.cap, pool.held_share)

    def move_of(self, service: str, wall: float) -> str:
        """Return the id of a service's version move, empty if there is none.

        Calls are counted from `PREPARE_S` before the move starts, so that there is evidence about
        the old version by then.
        """
        for move in version_moves(self.cfg, service):
            if move["start"] - PREPARE_S <= wall and move["id"] not in self.finals:
                return move["id"]
        return ""

    def taken_back(self) -> frozenset[str]:
        """Return the ids of the moves taken back, for use with `leaf_state`."""
        return frozenset(
            name for name, state in self.finals.items() if state is MoveState.TAKEN_BACK
        )

    def require_may_send(self, service: str, version: str, now: float) -> None:
        """Assert at dispatch that the version was not latched over `MAX_SEND_AFTER_LATCH_S` ago."""
        for move in version_moves(self.cfg, service):
            latched = self.latched_at.get(move["id"])
            expired = latched is not None and now - latched > MAX_SEND_AFTER_LATCH_S
            require(
                not expired or move.get("version") != version,
                Promise.BAD_VERSION,
                f"request sent to {service} {version}, which move {move['id']} latched as bad",
            )

    def status(self, move: Move, wall: float) -> MoveStatus:
        """Return a move's status as this node knows it, even if the store is unavailable."""
        name = move["id"]
        final = self.finals.get(name)
        if final is not None:
            return MoveStatus(final, wall, "recorded")
        if wall < move["start"]:
            return MoveStatus(MoveState.PENDING, move["start"], "starts at the time shown")
        return MoveStatus(MoveState.UNDER_WAY, move["start"], self._progress(move, wall))

    def _progress(self, move: Move, wall: float) -> str:
        name = move["id"]
        latch = self.latches.get(name)
        if latch is not None:
            return f"the new version {latch.reason}; gets no traffic; to be recorded as taken back"
        if name in self.ready:
            return "all traffic moved in time; to be recorded as done"
        if wall >= move["finish"]:
            return "not done by its finish; to be recorded as taken back"
        pool = self.pools.get(name)
        if pool is None:
            return "under way"
        share = f"share {self.share_of(move, wall):.2f} after {pool.new_calls():.0f} calls"
        risk = self.at_risk(move, wall)
        return f"{risk}; {share}" if risk else share

    def at_risk(self, move: Move, wall: float) -> str:
        """Return why a version move can't be done by its finish, empty if it can."""
        name = move["id"]
        pool = self.pools.get(name)
        decided = name in self.finals or name in self.latches or name in self.ready
        if pool is None or pool.calls_per_s is None or decided or wall >= move["finish"]:
            return ""
        if name in self.full_since:
            return ""
        return too_short_reason(move, wall, pool.new_calls(), pool.calls_per_s)
