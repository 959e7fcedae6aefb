"""The state of one node."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.access.admit import KeyTrust
from cactussaddle_core.delegation.delegates import Delegates
from cactussaddle_core.delegation.delegates import gatherers
from cactussaddle_core.edge.crashes import CrashTracker
from cactussaddle_core.edge.effects import ConnectionLimits
from cactussaddle_core.edge.features import NO_FEATURES
from cactussaddle_core.edge.loading import PendingRequests
from cactussaddle_core.edge.stopping import GracefulStop
from cactussaddle_core.fanout.state import FanoutState
from cactussaddle_core.fleet.fleet import Fleet
from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.hashing import unit_interval
from cactussaddle_core.limits.budget import RetryBudget
from cactussaddle_core.limits.cold import calls_per_second
from cactussaddle_core.limits.leaflimit import SHARE_VALID_S
from cactussaddle_core.limits.leaflimit import Audience
from cactussaddle_core.limits.leaflimit import Quota
from cactussaddle_core.limits.leaflimit import Traffic
from cactussaddle_core.limits.leaflimit import share
from cactussaddle_core.limits.members import RecentMembers
from cactussaddle_core.limits.roster import Roster
from cactussaddle_core.rollouts.rollouts import Rollouts
from cactussaddle_core.routing.split import WeightedRoundRobin
from cactussaddle_core.routing.table import CurrentTable
from cactussaddle_core.waiting.decide import Begun
from cactussaddle_core.waiting.hostqueue import HostQueue

if TYPE_CHECKING:
    from cactussaddle_core.delegation.model import Delegated
    from cactussaddle_core.edge.features import Features
    from cactussaddle_core.edge.logevents import LimitShares
    from cactussaddle_core.fanout.state import Query
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.limits.budget import BudgetRules
    from cactussaddle_core.limits.cold import ColdRules
    from cactussaddle_core.routing.model import ServiceSpec
    from cactussaddle_core.spread.model import Member

# Number of nodes assumed until the members are known, for the connections to a leaf.
ASSUMED_MEMBERS = 16
HOUSEKEEPING_S = 0.1
WARM_CONNECTIONS = 1
SAME_REGION_IDLE_S = 30.0
OTHER_REGION_IDLE_S = 1.0
INITIAL_PROBE_SPREAD_S = 1.0
# Number of nodes per region that probe a new leaf; the others use the times of leaves of its size.
INITIAL_PROBERS = 3
# A node that hands its queries on checks leaves later than the others, by this factor.
PASSIVE_FACTOR = 8


class EdgeIdentity(NamedTuple):
    """This node's name and failure domain; `region_of` maps each failure domain to its region.

    `cores` is the processor of its host, in cores of usual speed; 0 if it hands no queries on.
    """

    node: str
    domain: str
    region_of: dict[str, str]
    cores: float = 0.0


class EdgeRules(NamedTuple):
    """Limits that all nodes keep jointly, and the optional parts that are switched on.

    A key that the configuration takes away must have ended `revoke_s` later, also here if this node does
    not know it; infinite if it need not.
    """

    budget: BudgetRules
    cold: ColdRules
    features: Features = NO_FEATURES
    revoke_s: float = math.inf


class EdgeState:
    """The complete state of a node; `region_nodes` is the number of nodes in its region that check leaves.

    `gatherer_count` is the number of nodes that run queries themselves, 0 if these are all nodes.

    The process started at `started_at`, in seconds of the monotonic clock. `keys_confirmed_at` is the time at
    which the store last confirmed the keys, on the clock of `RecordsConfirmed`; `keys_hidden` is set
    while the newest configuration can't be read.
    """

    def __init__(
        self, *, me: EdgeIdentity, rules: EdgeRules, seed: int, started_at: float = -math.inf
    ) -> None:
        self.me = me
        self.rules = rules
        self.started_at = started_at
        self.current_table = CurrentTable()
        self.round_robin = WeightedRoundRobin()
        self.fleet = Fleet()
        self.members: dict[str, Member] = {}
        self.recent_members = RecentMembers()
        self.roster = Roster(node=me.node)
        self.logged_shares: LimitShares | None = None
        self.traffic = Traffic(node=me.node)
        self._shares: dict[tuple[str, frozenset[str]], float] = {}
        self._shares_valid_until = 0.0
        self.region_nodes = 1
        self.gatherer_count = 0
        self.crashes = CrashTracker(node=me.node, fleet=self.fleet, incarnation=str(seed))
        self.pending_requests = PendingRequests()
        self.delegates = Delegates(node=me.node, domain=me.domain, cores=me.cores)
        # The queries that other nodes run for this one, by the numbers of their requests.
        self.delegated: dict[int, Delegated] = {}
        self.host_queue = HostQueue()
        self.store_up = False
        self.store_lost_at_start = False
        self.store_lost_at: float | None = None
        self.registry_confirmed_at = -math.inf
        self.keys_confirmed_at = -math.inf
        self.keys_hidden = False
        self.stopping = GracefulStop()
        self.connections_changed = False
        # Connections that are to be opened in advance once no request is open.
        self.warming_owed = False
        self.housekeeping_at = 0.0
        self.budget = RetryBudget(
            rules=rules.budget, nodes=math.inf, started_at=started_at, has_reserve=False
        )
        self.rollouts = Rollouts(node=me.node, incarnation=str(seed))
        self.fanout = FanoutState(
            fleet=self.fleet,
            budget=self.budget,
            rollouts=self.rollouts,
            may_call=self.may_send,
            cold_calls=self.cold_calls,
            ran_well=self.crashes.record_success,
            own_domain=me.domain,
            region_of=me.region_of,
            seed=seed,
        )
        self.fanout.merged = self._merged_here
        self.fanout.room.is_on = rules.features.waiting

    def _merged_here(self, query: Query, now: float) -> None:
        if not query.request.delegated:
            took_s = now - query.started_at
            self.delegates.ran_here(query.route.name, len(query.parts), took_s, now)

    def may_call(self, leaf: Leaf, now: float) -> bool:
        """Return whether a new call may go to a leaf."""
        if not self.fleet.may_get_calls(leaf, now):
            return False
        if self._is_cold_share_spent(leaf, now):
            return False
        return leaf.limit_per_s is None or self._quota(leaf, leaf.limit_per_s, now).allows(now)

    def may_send(self, leaf: Leaf, now: float) -> bool:
        """Return whether a new call may go to a leaf; find out if it is cold where only a doubt forbids it."""
        if self.may_call(leaf, now):
            return True
        is_in_use = leaf.availability is Availability.READY and self.fleet.may_get_calls(leaf, now)
        if leaf.is_doubted and is_in_use and self._is_cold_share_spent(leaf, now):
            leaf.confirm(now)
        return False

    def _is_cold_share_spent(self, leaf: Leaf, now: float) -> bool:
        """Return whether a leaf that is or may be cold gets no more calls of this node now."""
        if not leaf.may_be_cold(now):
            return False
        return leaf.cold_meter.count(now) >= self.cold_calls(leaf, now)

    def _quota(self, leaf: Leaf, limit_per_s: float, now: float) -> Quota:
        """Return this node's quota at a limited leaf, with its rate kept up to date."""
        if leaf.quota is None:
            # Nodes that learn of a limit together must not all send their first call at once.
            leaf.quota = Quota(tokens=self.fanout.rng.random(), now=now)
        if leaf.quota.is_outdated(now):
            leaf.quota.set_rate(limit_per_s * self._limit_share(leaf, now), now)
        return leaf.quota

    def _limit_share(self, leaf: Leaf, now: float) -> float:
        """Return this node's share of a leaf's limit; the same for all leaves that are placed alike."""
        region_of = self.me.region_of
        others = self.fleet.leaves_of(leaf.entry.service)
        leaf_region = region_of.get(leaf.entry.domain, "")
        service_regions = frozenset(region_of.get(other.entry.domain, "") for other in others)
        if now >= self._shares_valid_until:
            self._shares_valid_until = now + SHARE_VALID_S
            self._shares.clear()
        known = self._shares.get((leaf_region, service_regions))
        if known is None:
            known = self._compute_share(leaf_region, service_regions, now)
            self._shares[leaf_region, service_regions] = known
        return known

    def _compute_share(
        self, leaf_region: str, service_regions: frozenset[str], now: float
    ) -> float:
        region_of = self.me.region_of
        audience = Audience(
            region_of_node={
                name: region_of.get(member.domain, "") for name, member in self.members.items()
            },
            node_count=self.share_count(now),
            leaf_region=leaf_region,
            service_regions=service_regions,
        )
        return share(self.me.node, self.traffic.rates(now), audience)

    def key_trust(self) -> KeyTrust:
        """Return when the store confirmed the known keys, and when a key must have ended."""
        return KeyTrust(self.keys_confirmed_at, self.rules.revoke_s)

    def begun(self) -> Begun:
        """Return what this host has begun."""
        return Begun(len(self.fanout.queries), self.fanout.backlog_s())

    def is_loaded(self) -> bool:
        """Return whether the routing table and the leaves are known."""
        return self.current_table.table is not None and self.fleet.loaded

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this node."""
        return self.is_loaded() and not self.stopping.asked

    def next_due(self) -> float:
        """Return when the next tick is due."""
        return min(
            self.housekeeping_at,
            self.fanout.next_due(),
            self.fleet.probes.next_at,
            self.host_queue.review_at,
        )

    def connections(self, leaf: Leaf, now: float) -> ConnectionLimits:
        """Return the connection limits for a leaf.

        Most calls go to leaves of this node's own region. Idle connections to other regions would
        use up the leaf's connection limit at the expense of the nodes that need them, unless a few nodes
        run the queries of all.
        """
        table = self.current_table.table
        spec = table.services.get(leaf.entry.service) if table is not None else None
        share = self._connection_share(spec, now) if spec is not None else 1
        is_gatherer = self.gatherer_count > 0 and not len(self.delegates)
        if self._is_same_region(leaf) and not len(self.delegates):
            return ConnectionLimits(leaf, max(1, share), WARM_CONNECTIONS, SAME_REGION_IDLE_S)
        idle_s = SAME_REGION_IDLE_S if is_gatherer else OTHER_REGION_IDLE_S
        return ConnectionLimits(leaf, max(1, share), 0, idle_s)

    def _connection_share(self, spec: ServiceSpec, now: float) -> int:
        """Return how many connections this node may open to a leaf.

        Where some nodes run the queries of others, these share one half, as the others open few.
        """
        share = spec.max_connections // self.member_count(now)
        if self.gatherer_count and not len(self.delegates):
            return max(share, spec.max_connections // (2 * self.gatherer_count))
        return share

    def schedule_initial_probe(self, leaf: Leaf, now: float) -> None:
        """Have a few nodes of a new leaf's region probe it once, to learn its baseline time."""
        if self._is_same_region(leaf) and self._is_initial_prober(leaf):
            at = now + INITIAL_PROBE_SPREAD_S * self.fanout.rng.random()
            leaf.baseline_only = True
            self.fleet.probes.schedule(leaf.name, at)

    def set_rules(self, rules: EdgeRules, region_of: dict[str, str]) -> None:
        """Apply changed settings."""
        self.rules = rules
        self.budget.rules = rules.budget
        self.fanout.room.is_on = rules.features.waiting
        self.me = self.me._replace(region_of=region_of)
        self.fanout.region_of = region_of

    def set_members(self, members: dict[str, Member], now: float) -> None:
        """Apply a changed set of registered nodes."""
        self.members = members
        region_of = self.me.region_of
        region = region_of.get(self.me.domain)
        running = gatherers(members.values())
        near = sum(1 for member in running if region_of.get(member.domain) == region)
        self.region_nodes = max(1, near)
        self.gatherer_count = len(running) if len(running) < len(members) else 0
        self.recent_members.saw(members, now)
        self.rollouts.set_members(members, now)
        self.budget.nodes = self.share_count(now)
        self.delegates.set_members(members.values())

    def member_count(self, now: float) -> int:
        """Return the number of nodes that are registered, or were a short time ago."""
        return self.recent_members.count(now) or ASSUMED_MEMBERS

    def sharing_nodes(self, now: float) -> frozenset[str]:
        """Return the nodes by which the common limits are divided; none if this node has no share."""
        away_s = 0.0 if self.store_up or self.store_lost_at is None else now - self.store_lost_at
        if not self.roster.has_share(away_s, now):
            return frozenset()
        return self.roster.names.union(self.recent_members.names(now))

    def share_count(self, now: float) -> float:
        """Return the number of nodes by which the common limits are divided; infinity without a share."""
        return len(self.sharing_nodes(now)) or math.inf

    def _is_same_region(self, leaf: Leaf) -> bool:
        region_of = self.me.region_of
        return region_of.get(leaf.entry.domain) == region_of.get(self.me.domain)

    def _is_initial_prober(self, leaf: Leaf) -> bool:
        if len(self.delegates):
            return False
        return unit_interval(leaf.name, self.me.node) * self.region_nodes < INITIAL_PROBERS

    def checking_nodes(self) -> int:
        """Return among how many nodes the checks of an unhealthy leaf are spread.

        A node that hands its queries on calls few leaves, so it leaves the checks to the others.
        """
        return self.region_nodes * (PASSIVE_FACTOR if len(self.delegates) else 1)

    def cold_calls(self, leaf: Leaf, now: float) -> float:
        """Return how many calls per second this node may send to a leaf while it is cold."""
        table = self.current_table.table
        spec = table.services.get(leaf.entry.service) if table is not None else None
        if spec is None or spec.cold_rate <= 0.0:
            return math.inf
        nodes = self.sharing_nodes(now)
        if not nodes:
            return 0.0
        return calls_per_second(self.rules.cold, spec.cold_rate, leaf.name, self.me.node, nodes)
