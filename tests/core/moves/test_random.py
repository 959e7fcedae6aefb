"""Random runs of the moves reducer over one version move and one domain move."""

from __future__ import annotations

import unittest

from typing import Any
from unittest import mock

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from cactussaddle_core import moves
from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.exceptions import InvariantError
from cactussaddle_core.moves import reducer
from tests.core.moves.model import MOVE
from tests.core.moves.model import ROUTES
from tests.core.moves.model import SERVICE
from tests.core.moves.model import START
from tests.core.moves.model import build

NODES = ("n0", "n1", "n2")
DURATION_S = 20.0
DOMAIN_MOVE = "m2"
SKEW_S = {"n0": 0.0, "n1": 0.3, "n2": -0.3}
INDEX = st.integers(min_value=0, max_value=63)
SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class Breach(AssertionError):
    pass


def plan():
    cfg = build(DURATION_S)
    out: Any = {
        "id": DOMAIN_MOVE,
        "kind": MoveKind.DOMAIN_OUT,
        "target": "d0",
        "start": START,
        "finish": START + DURATION_S,
    }
    return cfg._replace(moves={**cfg.moves, DOMAIN_MOVE: out})


class World:
    def __init__(self):
        self.now = START - 1.0
        self.cfg = plan()
        self.store: dict[str, MoveState] = {}
        self.store_up = True
        self.lose_answers = False
        self.wires: list[tuple[str, Any]] = []
        self.paused: set[str] = set()
        self.latched: set[str] = set()
        self.born = 0
        self.bad_version = False
        self.books: dict[str, moves.MoveTable] = {}
        for name in NODES:
            self.start(name)

    def start(self, name):
        self.born += 1
        self.paused.discard(name)
        self.latched.discard(name)
        self.books[name] = moves.MoveTable(node=name, incarnation=str(self.born))
        self.feed(name, moves.ConfigApplied(self.cfg))
        self.feed(name, moves.Members(NODES))
        self.feed(name, moves.LocalComplete(DOMAIN_MOVE, True))

    def feed(self, name, event):
        book = self.books[name]
        wall = self.now + SKEW_S[name]
        for effect in moves.reduce(book, event, self.now + 1000.0 * len(name), wall):
            if isinstance(effect, moves.RecordFinal):
                self.propose(book, effect, wall)
            elif isinstance(effect, moves.PutLatch):
                self.spread(name, moves.PeerLatch(effect.data))
            else:
                self.spread(name, moves.PeerEvidence(effect.data))

    def spread(self, name, event):
        self.wires += [(peer, event) for peer in NODES if peer != name]

    def propose(self, book, effect, wall):
        if effect.state is MoveState.DONE and effect.move in book.latches:
            raise Breach("a node that holds the version for bad proposes done")
        if effect.state is MoveState.DONE and wall < START + 3.0:
            raise Breach("done before anything could be")
        if not self.store_up:
            return
        state = self.store.setdefault(effect.move, effect.state)
        if not self.lose_answers:
            self.wires += [(name, moves.FinalRecorded(effect.move, state)) for name in NODES]

    def calls(self, name, count):
        book = self.books[name]
        wall = self.now + SKEW_S[name]
        share = book.share(SERVICE, wall).get("v2", 0.0)
        for i in range(count):
            is_new = share > 0.0 and i % 2 == 0
            version = "v2" if is_new else "v1"
            ok = not (is_new and self.bad_version)
            move = book.move_of(SERVICE, wall)
            route = ROUTES[i % 4 // 2]
            leaf = f"{'b' if is_new else 'a'}{i % 3}"
            self.feed(name, moves.OutcomeSeen(move, route, version, ok, 0.02, False, leaf))

    def advance(self, seconds):
        self.now += seconds
        for name in NODES:
            if name not in self.paused:
                self.feed(name, moves.Tick())

    def check(self):
        for name, book in self.books.items():
            if MOVE in book.latches:
                self.latched.add(name)
            share = book.share(SERVICE, self.now + SKEW_S[name]).get("v2", 0.0)
            if share and name in self.latched:
                raise Breach(f"{name} sends to a version that it latched")
            for move, state in book.finals.items():
                if self.store.get(move) is not state:
                    raise Breach(f"{name} holds {move} for {state}")

    def work(self, seconds):
        """Let the nodes that are not paused work, with every message delivered."""
        waiting, self.wires = self.wires, []
        for name, event in waiting:
            if name in self.paused:
                self.wires.append((name, event))
            else:
                self.feed(name, event)
        for name in NODES:
            if name not in self.paused:
                self.calls(name, 12)
        self.advance(seconds)

    def settle(self):
        self.paused.clear()
        self.store_up = True
        self.lose_answers = False
        for _ in range(120):
            self.work(0.5)
            self.check()
        for move in (MOVE, DOMAIN_MOVE):
            states = {book.finals.get(move) for book in self.books.values()}
            if len(states) != 1 or None in states:
                raise Breach(f"{move} ends as {states}")
        if self.latched and {MOVE in book.latches for book in self.books.values()} != {True}:
            raise Breach("a latch did not reach all nodes")


class MovesMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World()

    @precondition(lambda self: self.world.wires)
    @rule(index=INDEX)
    def deliver(self, index):
        name, event = self.world.wires.pop(index % len(self.world.wires))
        if name in self.world.paused:
            self.world.wires.append((name, event))
        else:
            self.world.feed(name, event)

    @precondition(lambda self: self.world.wires)
    @rule(index=INDEX)
    def double(self, index):
        self.world.wires.append(self.world.wires[index % len(self.world.wires)])

    @precondition(lambda self: self.world.wires)
    @rule(index=INDEX)
    def lose(self, index):
        name, event = self.world.wires.pop(index % len(self.world.wires))
        if isinstance(event, moves.PeerLatch):
            self.world.wires.append((name, event))

    @rule(node=st.sampled_from(NODES), count=st.sampled_from([12, 60, 240]))
    def calls(self, node, count):
        if node not in self.world.paused:
            self.world.calls(node, count)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 3.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(steps=st.sampled_from([2, 12, 30]))
    def work(self, steps):
        for _ in range(steps):
            self.world.work(0.5)

    @rule()
    def jump_to_finish(self):
        self.world.advance(max(0.1, START + DURATION_S - 0.2 - self.world.now))

    @rule()
    def turn_bad(self):
        self.world.bad_version = True

    @rule(node=st.sampled_from(NODES), complete=st.booleans())
    def complete(self, node, complete):
        self.world.feed(node, moves.LocalComplete(DOMAIN_MOVE, complete))

    @rule(node=st.sampled_from(NODES))
    def kill(self, node):
        self.world.start(node)

    @rule(node=st.sampled_from(NODES))
    def pause_or_wake(self, node):
        self.world.paused ^= {node}

    @rule(up=st.booleans(), lose=st.booleans())
    def store(self, up, lose):
        self.world.store_up = up
        self.world.lose_answers = lose

    @invariant()
    def check(self):
        self.world.check()

    def teardown(self):
        self.world.settle()


def run_machine(selected=SETTINGS):
    run_state_machine_as_test(MovesMachine, settings=selected)


class RandomTest(unittest.TestCase):
    def test_finals_agree_and_a_latch_only_latches(self):
        run_machine()

    def assert_found(self):
        only_find = settings(SETTINGS, phases=[Phase.generate], max_examples=300)
        with self.assertRaises((Breach, InvariantError)):
            run_machine(only_find)

    def test_found_when_the_share_ignores_the_latch(self):
        original = moves.MoveTable.share_of

        def blind(self, move, wall):
            latches, self.latches = self.latches, {}
            share = original(self, move, wall)
            self.latches = latches
            return share

        with mock.patch.object(moves.MoveTable, "share_of", blind):
            self.assert_found()

    def test_found_when_done_is_proposed_in_spite_of_a_latch(self):
        original = reducer._proposal

        def blind(state, move, wall):
            latches, state.latches = state.latches, {}
            proposal = original(state, move, wall)
            state.latches = latches
            return proposal

        with mock.patch.object(reducer, "_proposal", blind):
            self.assert_found()

    def test_found_when_a_node_does_not_wait_for_the_store(self):
        original = reducer._proposal

        def hasty(state, move, wall):
            proposal = original(state, move, wall)
            if proposal is not None:
                state.finals[move["id"]] = proposal.state
            return proposal

        with mock.patch.object(reducer, "_proposal", hasty):
            self.assert_found()

    def test_found_when_latches_are_not_passed_on(self):
        def silent(state, event, now, effects):
            state.synced = True

        with mock.patch.object(reducer, "_on_peer_latch", silent):
            self.assert_found()
