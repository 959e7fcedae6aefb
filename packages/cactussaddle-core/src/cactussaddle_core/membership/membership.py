"""Failure detection: each node probes one other per interval, directly and then through others.

A node that does not answer is suspected, and considered dead unless it refutes the suspicion in time by
raising its counter. Updates are sent with the probes and, while they are new, in messages of their own.
"""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.membership.model import Ack
from cactussaddle_core.membership.model import Answered
from cactussaddle_core.membership.model import Changed
from cactussaddle_core.membership.model import Effect
from cactussaddle_core.membership.model import Gone
from cactussaddle_core.membership.model import MemberRecord
from cactussaddle_core.membership.model import Message
from cactussaddle_core.membership.model import NodeState
from cactussaddle_core.membership.model import Paused
from cactussaddle_core.membership.model import Ping
from cactussaddle_core.membership.model import PingRequest
from cactussaddle_core.membership.model import Relayed
from cactussaddle_core.membership.model import Rumor
from cactussaddle_core.membership.model import Send
from cactussaddle_core.membership.model import Superseded
from cactussaddle_core.membership.table import MemberTable
from cactussaddle_core.membership.table import record_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

PROBE_INTERVAL_S = 0.25
DIRECT_TIMEOUT_S = 0.25
INDIRECT_TIMEOUT_S = 0.3
SUSPICION_S = 0.6
PAUSE_S = 1.0
SLOW_TICK_S = 0.5
SEED_INTERVAL_S = 0.5
SYNC_INTERVAL_S = 5.0
DEAD_KEEP_S = 300.0
RELAYS = 3
RUMOR_PEERS = 3
RUMOR_ROUNDS = 2
PIGGYBACK = 6
SYNC_CHUNK = 16
RECORD_BYTES = 70
RUMOR_BYTES_PER_S = 16000.0
RUMOR_BURST_BYTES = 32000.0


class Probe(NamedTuple):
    """A pending ping; `relayed_at` is None until other nodes are asked to try."""

    target: str
    sent_at: float
    relayed_at: float | None


class RelayedProbe(NamedTuple):
    """A ping sent on behalf of `asker`."""

    asker: MemberRecord
    seq: int
    target: str
    sent_at: float


class Membership:
    """The members as one node knows them."""

    def __init__(
        self, *, node: str, incarnation: int, address: str, domain: str, seed: int
    ) -> None:
        self.me = MemberRecord(node, incarnation, 0, NodeState.ALIVE, address, domain)
        self.placement_epoch = 0
        self._table = MemberTable()
        self._rng = random.Random(f"{seed}/{node}/{incarnation}")
        self._seq = 0
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, RelayedProbe] = {}
        self._round: list[str] = []
        self._suspect_until: dict[str, float] = {}
        self._dead_at: dict[str, float] = {}
        self._hot: dict[str, int] = {}
        self._seeds: tuple[str, ...] = ()
        self._synced = False
        self._last: float | None = None
        self._woke_at: float | None = None
        self._rumor_bytes = RUMOR_BURST_BYTES
        self._next_probe = 0.0
        self._next_seed = 0.0
        self._next_sync = 0.0
        self._agreed_at = 0.0
        self._differs_from: MemberRecord | None = None

    def members(self) -> list[MemberRecord]:
        """Return the newest record of each known node, this one included."""
        return [self.me, *self._table]

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a node."""
        return self.me if name == self.me.name else self._table.get(name)

    def live(self) -> list[MemberRecord]:
        """Return the other members that are alive or suspected."""
        return [r for r in self._table if r.state in (NodeState.ALIVE, NodeState.SUSPECT)]

    @property
    def stale(self) -> bool:
        """Whether this node was paused and has had no answer since."""
        return self._woke_at is not None

    def seeds(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the host list; those of no live member are tried in turn."""
        self._seeds = tuple(sorted(set(addresses) - {self.me.address}))

    def host_dropped(self, name: str, now: float) -> list[Effect]:
        """Record that the host list has dropped a host that it had listed: it is gone permanently."""
        self._observe(now)
        if name == self.me.name:
            return [Superseded(self.me.incarnation)]
        self._suspect_until.pop(name, None)
        self._dead_at.pop(name, None)
        self._hot.pop(name, None)
        record = self._table.drop(name)
        if record is None:
            return []
        dead = record._replace(state=NodeState.DEAD)
        return [Changed(record, dead), Gone(name, record.incarnation)]

    def leave(self, now: float) -> list[Effect]:
        """Announce that this node is leaving."""
        self._observe(now)
        self.me = self.me._replace(counter=self.me.counter + 1, state=NodeState.LEAVING)
        return self._rumor(now, peers=RELAYS * RUMOR_PEERS)

    def next_due(self, soon: float) -> float:
        """Return when `tick` is due next, at `soon` at the earliest."""
        if self._hot:
            return soon
        asked = [probe.relayed_at for probe in self._probes.values()]
        waits = [at + INDIRECT_TIMEOUT_S for at in asked if at is not None]
        return max(soon, min([self._next_probe, *waits, *self._suspect_until.values()]))

    def tick(self, now: float) -> list[Effect]:
        """Carry out what is due; must be called at `next_due`."""
        effects = self._observe(now)
        effects += self._time_out(now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL_S
            effects += self._probe_next(now)
        if now >= self._next_seed:
            self._next_seed = now + SEED_INTERVAL_S
            effects += self._probe_seed(now)
        if now >= self._next_sync:
            self._next_sync = now + SYNC_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            effects += self._sync(now)
        if self._hot and self._rumor_bytes > 0.0:
            effects += self._rumor(now, peers=RUMOR_PEERS)
        return effects

    def receive(self, message: Message, now: float) -> list[Effect]:
        """Handle a message from another node."""
        effects = self._observe(now)
        effects += self._merge(message.sender, now)
        match message:
            case Ping():
                effects += self._on_ping(message, now)
            case Ack():
                effects += self._on_ack(message, now)
            case PingRequest():
                effects.append(self._relay(message, now))
            case Relayed():
                self._on_relayed(message)
            case Rumor():
                effects += self._merge_all(message.updates, now, spread=not message.table)
                if message.pull:
                    effects += self._whole_table(message.sender)
        return effects

    def _observe(self, now: float) -> list[Effect]:
        """Record the time; probes left unanswered during a pause of this node do not count."""
        last, self._last = self._last, now
        if last is None:
            return []
        refilled = self._rumor_bytes + (now - last) * RUMOR_BYTES_PER_S
        self._rumor_bytes = min(RUMOR_BURST_BYTES, refilled)
        if now - last <= SLOW_TICK_S:
            return []
        gap = now - last
        self._probes.clear()
        self._suspect_until = {name: at + gap for name, at in self._suspect_until.items()}
        if gap <= PAUSE_S:
            return []
        self._woke_at = now
        self._next_probe = now
        return [Paused(gap)]

    def _time_out(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for seq, probe in list(self._probes.items()):
            if probe.relayed_at is None:
                if now - probe.sent_at >= DIRECT_TIMEOUT_S:
                    self._probes[seq] = probe._replace(relayed_at=now)
                    effects += self._ask_relays(seq, probe.target)
            elif now - probe.relayed_at >= INDIRECT_TIMEOUT_S:
                del self._probes[seq]
                effects += self._suspect(probe.target, now)
        self._relays = {
            seq: relay
            for seq, relay in self._relays.items()
            if now - relay.sent_at < INDIRECT_TIMEOUT_S
        }
        if self.stale:
            return effects
        for name, until in list(self._suspect_until.items()):
            record = self._table.get(name)
            if now >= until and record is not None:
                effects += self._merge(record._replace(state=NodeState.DEAD), now)
        for name, at in list(self._dead_at.items()):
            if now - at > DEAD_KEEP_S:
                del self._dead_at[name]
                self._table.forget(name)
        return effects

    def _suspect(self, name: str, now: float) -> list[Effect]:
        record = self._table.get(name)
        if self.stale or record is None or record.state >= NodeState.SUSPECT:
            return []
        has_left = record.state == NodeState.LEAVING
        state = NodeState.DEAD if has_left else NodeState.SUSPECT
        return self._merge(record._replace(state=state), now)

    def _merge_all(
        self, records: Iterable[MemberRecord], now: float, *, spread: bool = True
    ) -> list[Effect]:
        effects: list[Effect] = []
        for record in records:
            effects += self._merge(record, now, spread=spread)
        return effects

    def _merge(self, record: MemberRecord, now: float, *, spread: bool = True) -> list[Effect]:
        if record.name == self.me.name:
            return self._heard_of_me(record)
        if not self._table.accepts(record):
            return []
        old = self._table.get(record.name)
        self._table.put(record, spread=spread)
        if spread:
            self._hot[record.name] = RUMOR_ROUNDS
        self._suspect_until.pop(record.name, None)
        self._dead_at.pop(record.name, None)
        if record.state == NodeState.SUSPECT:
            self._suspect_until[record.name] = now + SUSPICION_S
        if record.state == NodeState.DEAD:
            self._dead_at[record.name] = now
        effects: list[Effect] = [Changed(old, record)]
        if old is not None and _replaces(record, old):
            effects.append(Gone(old.name, old.incarnation))
        return effects

    def _heard_of_me(self, record: MemberRecord) -> list[Effect]:
        if record.incarnation > self.me.incarnation:
            return [Superseded(record.incarnation)]
        if record.incarnation == self.me.incarnation and record.rank() > self.me.rank():
            self.me = self.me._replace(counter=record.counter + 1)
            self._hot[self.me.name] = RUMOR_ROUNDS
        return []

    def _probe_next(self, now: float) -> list[Effect]:
        while self._round:
            record = self._table.get(self._round.pop())
            if record is not None and record.state != NodeState.DEAD:
                return [self._ping(record.name, record.address, now)]
        self._round = [r.name for r in self._table if r.state != NodeState.DEAD]
        self._rng.shuffle(self._round)
        if not self._round:
            return []
        record = self._table.get(self._round.pop())
        return [] if record is None else [self._ping(record.name, record.address, now)]

    def _probe_seed(self, now: float) -> list[Effect]:
        live = {record.address for record in self.live()}
        others = [address for address in self._seeds if address not in live]
        if not others:
            return []
        count = 1 if live else RELAYS
        chosen = self._rng.sample(others, min(count, len(others)))
        return [self._ping("", address, now) for address in chosen]

    def _ping(self, target: str, address: str, now: float) -> Send:
        self._seq += 1
        self._probes[self._seq] = Probe(target, now, None)
        updates = self._table.take_updates(PIGGYBACK, about=target)
        return Send(target, address, Ping(self.me, self._seq, not self._synced, updates))

    def _on_ping(self, ping: Ping, now: float) -> list[Effect]:
        sender = ping.sender
        effects = self._merge_all(ping.updates, now)
        ack = Ack(
            sender=self.me,
            seq=ping.seq,
            placement_epoch=self.placement_epoch,
            fresh=not self.stale,
            gone=self._is_gone(sender),
            digest=self._full_digest(),
            updates=self._table.take_updates(PIGGYBACK, about=sender.name),
        )
        effects.append(Send(sender.name, sender.address, ack))
        if ping.join:
            effects += self._whole_table(sender)
        return effects

    def _is_gone(self, record: MemberRecord) -> bool:
        if self._table.is_dropped(record.name, record.incarnation):
            return True
        known = self._table.get(record.name)
        return known is not None and known.incarnation > record.incarnation

    def _on_ack(self, ack: Ack, now: float) -> list[Effect]:
        effects = self._merge_all(ack.updates, now)
        relay = self._relays.pop(ack.seq, None)
        if relay is not None and relay.target == ack.sender.name:
            answer = Relayed(self.me, relay.seq, relay.target)
            effects.append(Send(relay.asker.name, relay.asker.address, answer))
            return effects
        probe = self._probes.get(ack.seq)
        if probe is None or probe.target not in ("", ack.sender.name):
            return effects
        del self._probes[ack.seq]
        if ack.gone:
            return [*effects, Superseded(self.me.incarnation)]
        self._synced = True
        if ack.digest == self._full_digest():
            self._agreed_at = now
        else:
            self._differs_from = ack.sender
        if ack.fresh:
            if self._woke_at is not None and probe.sent_at >= self._woke_at:
                self._woke_at = None
            effects.append(Answered(ack.sender.name, ack.placement_epoch, probe.sent_at))
        return effects

    def _ask_relays(self, seq: int, target: str) -> list[Effect]:
        record = self._table.get(target)
        others = [r for r in self.live() if r.name != target and r.state == NodeState.ALIVE]
        if record is None:
            return []
        chosen = self._rng.sample(others, min(RELAYS, len(others)))
        request = PingRequest(self.me, seq, target, record.address)
        return [Send(r.name, r.address, request) for r in chosen]

    def _relay(self, request: PingRequest, now: float) -> Send:
        self._seq += 1
        relay = RelayedProbe(request.sender, request.seq, request.target, now)
        self._relays[self._seq] = relay
        updates = self._table.take_updates(PIGGYBACK, about=request.target)
        ping = Ping(self.me, self._seq, False, updates)
        return Send(request.target, request.address, ping)

    def _on_relayed(self, message: Relayed) -> None:
        probe = self._probes.get(message.seq)
        if probe is not None and probe.target == message.target:
            del self._probes[message.seq]

    def _rumor(self, now: float, *, peers: int) -> list[Effect]:
        names = list(self._hot)[:SYNC_CHUNK]
        for name in names:
            self._hot[name] -= 1
            if self._hot[name] <= 0:
                del self._hot[name]
        records = [self._table.get(name) for name in names]
        updates = tuple(record for record in records if record is not None)
        targets = self.live()
        chosen = self._rng.sample(targets, min(peers, len(targets)))
        self._rumor_bytes -= RECORD_BYTES * (len(updates) + 1) * len(chosen)
        return [Send(r.name, r.address, Rumor(self.me, False, False, updates)) for r in chosen]

    def _whole_table(self, to: MemberRecord) -> list[Effect]:
        records = [record for record in self._table if record.state != NodeState.DEAD]
        return [
            Send(
                to.name, to.address, Rumor(self.me, False, True, tuple(records[i : i + SYNC_CHUNK]))
            )
            for i in range(0, len(records), SYNC_CHUNK)
        ]

    def _sync(self, now: float) -> list[Effect]:
        """Exchange complete tables with a peer if no peer has had an equal table for a while."""
        peer = self._differs_from
        self._differs_from = None
        if peer is None or self._hot or now - self._agreed_at < SYNC_INTERVAL_S:
            return []
        pull = Send(peer.name, peer.address, Rumor(self.me, True, False, ()))
        return [pull, *self._whole_table(peer)]

    def _full_digest(self) -> int:
        return self._table.digest ^ record_hash(self.me)


def _replaces(new: MemberRecord, old: MemberRecord) -> bool:
    """Return whether the new record shows that the old incarnation has ended."""
    return old.incarnation < new.incarnation and old.address == new.address
