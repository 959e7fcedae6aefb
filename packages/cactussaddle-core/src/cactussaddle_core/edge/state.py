"""The state of one node."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.edge.crashes import CrashWatch
from cactussaddle_core.edge.effects import Connections
from cactussaddle_core.edge.loading import WaitingRoom
from cactussaddle_core.edge.stopping import Stopping
from cactussaddle_core.fanout.state import FanoutBook
from cactussaddle_core.fleet.book import Fleet
from cactussaddle_core.hashing import unit_interval
from cactussaddle_core.limits.budget import RetryBudget
from cactussaddle_core.limits.cold import calls_per_second
from cactussaddle_core.limits.members import MemberCounts
from cactussaddle_core.rollouts.book import Rollouts
from cactussaddle_core.routing.split import SplitBook
from cactussaddle_core.routing.table import TableBook

if TYPE_CHECKING:
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.limits.budget import BudgetRules
    from cactussaddle_core.limits.cold import ColdRules
    from cactussaddle_core.spread.model import Member

# Nodes assumed until the members are known: too many make the shares small, not wrong.
UNKNOWN_MEMBERS = 16
HOUSEKEEPING_S = 0.1
WARM_CONNECTIONS = 1
NEAR_IDLE_S = 30.0
FAR_IDLE_S = 1.0
FIRST_PROBE_SPREAD_S = 1.0
# Nodes of a region that probe a new leaf; the others go by leaves of its size.
FIRST_PROBERS = 3


class EdgeIdentity(NamedTuple):
    """Who this node is; `region_of` maps each failure domain to its region."""

    node: str
    domain: str
    region_of: dict[str, str]


class EdgeRules(NamedTuple):
    """The bounds that all nodes keep together."""

    budget: BudgetRules
    cold: ColdRules


class EdgeState:
    """Everything one node knows and does; `near_nodes` counts the nodes of its region."""

    def __init__(self, *, me: EdgeIdentity, rules: EdgeRules, seed: int) -> None:
        self.me = me
        self.rules = rules
        self.tables = TableBook()
        self.splits = SplitBook()
        self.fleet = Fleet()
        self.members: dict[str, Member] = {}
        self.member_counts = MemberCounts()
        self.near_nodes = 1
        self.crashes = CrashWatch(node=me.node, fleet=self.fleet)
        self.waiting = WaitingRoom()
        self.store_up = False
        self.store_lost_at_start = False
        self.store_lost_at: float | None = None
        self.registry_seen_at = 0.0
        self.stopping = Stopping()
        self.connections_changed = False
        self.housekeeping_at = 0.0
        self.budget = RetryBudget(rules=rules.budget, nodes=UNKNOWN_MEMBERS)
        self.rollouts = Rollouts(node=me.node, incarnation=str(seed))
        self.fanout = FanoutBook(
            fleet=self.fleet,
            budget=self.budget,
            rollouts=self.rollouts,
            may_call=self.may_call,
            cold_calls=self.cold_calls,
            ran_well=self.crashes.ran_well,
            own_domain=me.domain,
            region_of=me.region_of,
            seed=seed,
        )

    def may_call(self, leaf: Leaf, now: float) -> bool:
        """Return whether a new call may go to a leaf."""
        if not self.fleet.may_get_calls(leaf, now):
            return False
        return not leaf.is_cold(now) or leaf.cold_meter.count(now) < self.cold_calls(leaf)

    def is_loaded(self) -> bool:
        """Return whether the routing table and the leaves are known."""
        return self.tables.table is not None and self.fleet.loaded

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        return self.is_loaded() and not self.stopping.asked

    def next_due(self) -> float:
        """Return when the next tick is due."""
        return min(self.housekeeping_at, self.fanout.next_due(), self.fleet.probes.next_at)

    def connections(self, leaf: Leaf, now: float) -> Connections:
        """Return how this node keeps connections to a leaf.

        Only leaves of the own region get most of the calls; elsewhere idle connections would take
        room under the leaf's limit from the nodes that need them.
        """
        table = self.tables.table
        spec = table.services.get(leaf.entry.service) if table is not None else None
        share = spec.max_connections // self.member_count(now) if spec is not None else 1
        if self._is_near(leaf):
            return Connections(leaf, max(1, share), WARM_CONNECTIONS, NEAR_IDLE_S)
        return Connections(leaf, max(1, share), 0, FAR_IDLE_S)

    def plan_first_probe(self, leaf: Leaf, now: float) -> None:
        """Have a leaf nearby probed once by a few nodes, to learn its usual time."""
        if self._is_near(leaf) and self._is_first_prober(leaf):
            at = now + FIRST_PROBE_SPREAD_S * self.fanout.rng.random()
            self.fleet.probes.ask(leaf.name, at)

    def set_rules(self, rules: EdgeRules, region_of: dict[str, str]) -> None:
        """Follow changed settings."""
        self.rules = rules
        self.budget.rules = rules.budget
        self.me = self.me._replace(region_of=region_of)
        self.fanout.region_of = region_of

    def set_members(self, members: dict[str, Member], now: float) -> None:
        """Take in which nodes are registered."""
        self.members = members
        region_of = self.me.region_of
        region = region_of.get(self.me.domain)
        near = sum(1 for member in members.values() if region_of.get(member.domain) == region)
        self.near_nodes = max(1, near)
        self.member_counts.saw(len(members), now)
        self.rollouts.set_members(members, now)
        self.budget.nodes = self.member_count(now)

    def member_count(self, now: float) -> int:
        """Return by how many nodes the common bounds are divided."""
        return self.member_counts.most(now) or UNKNOWN_MEMBERS

    def _is_near(self, leaf: Leaf) -> bool:
        region_of = self.me.region_of
        return region_of.get(leaf.entry.domain) == region_of.get(self.me.domain)

    def _is_first_prober(self, leaf: Leaf) -> bool:
        return unit_interval(leaf.name, self.me.node) * self.near_nodes < FIRST_PROBERS

    def cold_calls(self, leaf: Leaf) -> float:
        """Return how many calls a second this node may send to a leaf while it is cold."""
        table = self.tables.table
        spec = table.services.get(leaf.entry.service) if table is not None else None
        if spec is None or spec.cold_rate <= 0.0:
            return math.inf
        members = sorted(self.members) or [self.me.node]
        return calls_per_second(self.rules.cold, spec.cold_rate, leaf.name, self.me.node, members)
