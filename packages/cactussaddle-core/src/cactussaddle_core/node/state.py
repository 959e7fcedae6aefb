"""The state of one node."""

from __future__ import annotations

import enum
import heapq

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.config.model import EMPTY_CONFIG
from cactussaddle_core.gossip import Gossip
from cactussaddle_core.hold import HoldTable
from cactussaddle_core.membership.membership import Membership
from cactussaddle_core.membership.model import NodeState as MemberState
from cactussaddle_core.moves import MoveTable
from cactussaddle_core.node.deltalog import CONFIG_DELTA
from cactussaddle_core.node.deltalog import PLACEMENT_DELTA
from cactussaddle_core.node.deltalog import DeltaLog
from cactussaddle_core.node.holding import SUSPECTS_REQUESTS
from cactussaddle_core.node.holding import service_of
from cactussaddle_core.node.holding import verdicts
from cactussaddle_core.node.limits import adaptive_gate
from cactussaddle_core.node.limits import static_gate
from cactussaddle_core.node.planned import NO_PLAN
from cactussaddle_core.node.planned import eligible
from cactussaddle_core.node.traffic import Traffic
from cactussaddle_core.once import OnceBook
from cactussaddle_core.owner.book import OwnerBook
from cactussaddle_core.query.choose import any_replica
from cactussaddle_core.query.choose import least_expected_wait
from cactussaddle_core.query.state import Policy
from cactussaddle_core.query.state import QueryBook
from cactussaddle_core.slots import SlotBook

if TYPE_CHECKING:
    from cactussaddle_core.admission import Admission
    from cactussaddle_core.calls import LeafStatus
    from cactussaddle_core.config.model import Config
    from cactussaddle_core.config.model import Leaf
    from cactussaddle_core.node.events import HealthSeen
    from cactussaddle_core.node.events import HostEntry
    from cactussaddle_core.node.intake import Cap
    from cactussaddle_core.node.intake import OpenQuery
    from cactussaddle_core.node.orders import Order
    from cactussaddle_core.node.orders import OrderCall
    from cactussaddle_core.query.view import LeafView
    from cactussaddle_core.warmup import LeafLimit


CALL_ID_BITS = 40
BUSY_TICK_S = 0.05
READY_WAIT_S = 5.0
WATCHERS = 3
HOST_WATCHERS = 5


class PolicyName(enum.StrEnum):
    """Policies that can be selected by a setting."""

    ADAPTIVE = "adaptive"
    BASELINE = "baseline"


POLICIES: dict[PolicyName, Policy] = {
    PolicyName.ADAPTIVE: Policy(choose=least_expected_wait, hedge=True),
    PolicyName.BASELINE: Policy(choose=any_replica, hedge=False),
}


class FirstWave(enum.StrEnum):
    """How first leaf calls are sent if the request is not known to complete successfully."""

    STAGED = "staged"
    WHOLE = "whole"


class NodeIdentity(NamedTuple):
    """Identity of this node; `incarnation` increases with each start of the process."""

    node: str
    incarnation: int
    address: str
    domain: str


class Planning(NamedTuple):
    """Progress towards the next placement; times are of the monotonic clock."""

    dirty: bool
    wanted_since: float | None
    look_at: float


class NodeState:
    """Complete state of one node's reducer."""

    def __init__(
        self,
        *,
        me: NodeIdentity,
        policy: PolicyName,
        seed: int,
        first_wave: FirstWave = FirstWave.WHOLE,
    ) -> None:
        self.me = me
        self.policy = policy
        self.cfg: Config = EMPTY_CONFIG
        self.leaves: dict[str, Leaf] = {}
        self.plan = NO_PLAN
        self.traffic = Traffic()
        self.plan_check_at = 0.0
        self.plan_in_motion = False
        self.limits_check_at = 0.0
        self.config_deltas = DeltaLog(name=CONFIG_DELTA)
        self.placement_deltas = DeltaLog(name=PLACEMENT_DELTA)
        self.hosts: dict[str, HostEntry] = {}
        self.stopping = False
        self.stop_asked_at = 0.0
        self.stop_by = 0.0
        self.ended = False
        self.unanswered: set[int] = set()
        self.slots_held_at = 0.0
        self.store_up = True
        self.configured_at: float | None = None
        self.ready_at: float | None = None
        self.members = Membership(
            node=me.node,
            incarnation=me.incarnation,
            address=me.address,
            domain=me.domain,
            seed=seed,
        )
        self.gossip = Gossip(node=me.node, incarnation=me.incarnation, rng_seed=seed)
        self.slots = SlotBook(node=me.node, incarnation=me.incarnation)
        self.planning = Planning(dirty=False, wanted_since=None, look_at=0.0)
        self.paired_at = 0.0
        self.ticked_at = 0.0
        self.down_until: dict[str, float] = {}
        self.now = 0.0
        self.statuses: dict[str, LeafStatus] = {}
        self.limits: dict[str, LeafLimit] = {}
        self.seen: dict[str, HealthSeen] = {}
        self.answered_at: dict[str, float] = {}
        self.suspects_requests_left = SUSPECTS_REQUESTS
        self.suspects_request_at = 0.0
        self.hold = HoldTable(node=me.node, service_of=service_of(self))
        self.once = OnceBook(node=me.node, incarnation=str(me.incarnation))
        self.open_queries: dict[str, OpenQuery] = {}
        self.admissions: dict[str, Admission] = {}
        self.caps: dict[str, Cap] = {}
        self.orders: dict[str, Order] = {}
        self.order_calls: dict[int, OrderCall] = {}
        self.moves = MoveTable(node=me.node, incarnation=str(me.incarnation))
        staged = first_wave is FirstWave.STAGED and policy is PolicyName.ADAPTIVE
        self.queries = QueryBook(
            policy=POLICIES[policy],
            usable=self.leaf_usable,
            node_for=self.node_for,
            verdict=verdicts(self, staged=staged),
            eligible=eligible(self),
            id_base=(me.incarnation & 0xFFFF) << CALL_ID_BITS,
            seed=seed,
        )
        make_gate = static_gate if policy is PolicyName.BASELINE else adaptive_gate
        self.owner = OwnerBook(gate=make_gate(self))

    def leaf_usable(self, leaf: LeafView) -> bool:
        """Return whether new work may go to a leaf."""
        return leaf.limit > 0 and leaf.name in self.plan.serving and self.node_for(leaf.name) != ""

    def connections(self, leaf: str, now: float) -> int:
        """Return how many connections this node may have open to a leaf."""
        entry = self.leaves.get(leaf)
        if entry is None:
            return 0
        if self.policy is PolicyName.ADAPTIVE:
            return self.slots.connections(leaf, now)
        limit = self.cfg.services[entry["service"]]["connections"]
        return max(2, limit // max(1, len(self.hosts)))

    def connections_held(self, leaf: str, now: float) -> int:
        """Return how many connections this node may keep open, even while it may not open new ones."""
        if self.policy is PolicyName.ADAPTIVE:
            return self.slots.rights.connections(leaf, now)
        return self.connections(leaf, now)

    def open_connection(self, leaf: str, now: float) -> bool:
        """Count a connection that is about to be opened; return whether opening it is allowed."""
        return self.policy is PolicyName.BASELINE or self.slots.open_connection(leaf, now)

    def close_connection(self, leaf: str, now: float) -> None:
        """Count a connection that was closed."""
        if self.policy is PolicyName.ADAPTIVE:
            self.slots.close_connection(leaf, now)

    def node_for(self, leaf: str) -> str:
        """Return the node that currently runs calls on a leaf, empty if there is none."""
        if self.policy is PolicyName.BASELINE:
            return self.me.node
        entry = self.slots.placement["entries"].get(leaf)
        if entry is None:
            return ""
        for name in (entry["owner"], entry["deputy"]):
            if name and self.reachable(name):
                return name
        return ""

    def reachable(self, name: str) -> bool:
        """Return whether a node is assumed to be reachable."""
        if name == self.me.node:
            return not self.slots.retired
        record = self.members.get(name)
        if record is None or record.state == MemberState.DEAD:
            return False
        return self.down_until.get(name, 0.0) <= self.now

    def address_of(self, name: str) -> str:
        """Return the address for streams to a node, empty if unknown."""
        record = self.members.get(name)
        return "" if record is None else record.address

    def ready(self) -> bool:
        """Return whether the node can answer callers; once ready, it remains so."""
        return self.ready_at is not None

    def update_ready(self, now: float) -> None:
        """Mark the node ready if it knows a leaf of each service, or of one after `READY_WAIT_S`."""
        if self.ready_at is not None or self.cfg.revision == 0:
            return
        if self.configured_at is None:
            self.configured_at = now
        waited = now - self.configured_at > READY_WAIT_S
        by_service = self.queries.view.by_service
        known = [
            any(view.snapshots and self.leaf_usable(view) for view in by_service.get(service, ()))
            for service in self.cfg.services
        ]
        if all(known) or (waited and any(known)):
            self.ready_at = now

    def is_watcher(self) -> bool:
        """Return whether this node watches the store's documents on behalf of the other nodes.

        Only the first few live members by name do, so that the number of open watches does not
        grow with the fleet; the others receive by gossip what the watchers have read.
        """
        return self._is_among_first(WATCHERS)

    def needs_hosts(self) -> bool:
        """Return whether this node must learn quickly which hosts left the platform's list.

        This holds for nodes that plan the placement or wait for a host to leave.
        """
        if not self.ready() or self.slots.waits():
            return True
        return self._is_among_first(HOST_WATCHERS)

    def _is_among_first(self, count: int) -> bool:
        live = [self.me.node, *(record.name for record in self.members.live())]
        return self.me.node in heapq.nsmallest(count, live)

    def next_due(self) -> float:
        """Return when the next tick is due: soon while work is in progress, else by the timers.

        Periodic work between the nodes is driven by the rounds of membership.
        """
        soon = self.ticked_at + BUSY_TICK_S
        due = soon if self._in_progress() else self.members.next_due(soon)
        for at in (self.queries.next_due(), self.once.next_wake()):
            if at is not None:
                due = min(due, at)
        return due

    def _in_progress(self) -> bool:
        """Return whether the state may change merely because time passes."""
        if not self.idle() or self.stopping or self.ready_at is None:
            return True
        return self.plan_in_motion or bool(self.owner.lingering) or self.slots.awaited()

    def idle(self) -> bool:
        """Return whether no request or call is open."""
        idle = not self.queries.queries and not self.open_queries
        return idle and not self.owner.where and self.once.idle()
