from __future__ import annotations

import unittest

import msgspec

from cactussaddle_core.config.delta import ConfigDelta
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.node.events import PeerMessage
from cactussaddle_core.node.reduce import reduce
from cactussaddle_core.slots import LeafSite
from cactussaddle_core.slots import Member
from cactussaddle_core.slots import Placement
from cactussaddle_core.slots import empty_placement
from cactussaddle_core.slots import plan_placement
from cactussaddle_core.wire import DocReply
from cactussaddle_core.wire import DocRequest
from tests.core.node.world import WALL
from tests.core.node.world import World
from tests.core.node.world import config


def placements(count: int) -> list[Placement]:
    """Return successive placements, each with one more node than the one before."""
    leaves = {f"s1-{number}": LeafSite("s1", "d1") for number in range(3)}
    found: list[Placement] = []
    last = empty_placement()
    for number in range(count):
        members: dict[str, Member] = {
            f"n{n}": {"incarnation": n + 1, "address": f"127.0.0.1:{n}", "domain": "d1"}
            for n in range(number + 1)
        }
        last = plan_placement(last, leaves, members, {}, set(), leaving=frozenset())
        found.append(last)
    return found


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.world = World(nodes=2, seed=1, loss=0.0)
        self.world.accept(["n0", "n1"])
        self.chain = placements(3)

    def apply(self, name: str, placement: Placement) -> None:
        self.world.feed(name, DocSeen("placement", msgspec.json.encode(placement), "store"))

    def request(self, asker: str, asked: str) -> list[str]:
        """Request a placement from `asked` for `asker`, deliver the replies, and return their names."""
        request = DocRequest("placement", self.world.nodes[asker].slots.epoch)
        state = self.world.nodes[asked]
        effects = reduce(state, PeerMessage(asker, request), self.world.now, WALL)
        replies = [effect.message for effect in effects if isinstance(effect, SendPeer)]
        for reply in replies:
            self.world.feed(asker, PeerMessage(asked, reply))
        return [reply.name for reply in replies]

    def test_a_peer_some_epochs_behind_receives_deltas(self):
        for placement in self.chain:
            self.apply("n0", placement)
        self.apply("n1", self.chain[0])
        self.assertEqual(self.request("n1", "n0"), ["placement-delta", "placement-delta"])
        self.assertEqual(self.world.nodes["n1"].slots.placement, self.chain[2])

    def test_a_new_node_receives_the_full_document(self):
        for placement in self.chain:
            self.apply("n0", placement)
        self.assertEqual(self.request("n1", "n0"), ["placement"])
        self.assertEqual(self.world.nodes["n1"].slots.placement, self.chain[2])

    def test_a_delta_from_another_epoch_is_dropped(self):
        for placement in self.chain:
            self.apply("n0", placement)
        last = self.world.nodes["n0"].placement_deltas.replies(self.chain[1]["epoch"])
        self.world.feed("n1", DocSeen("placement-delta", last[0].data, "n0"))
        self.assertEqual(self.world.nodes["n1"].slots.epoch, 0)

    def test_malformed_documents_change_nothing(self):
        for name in ("config", "config-delta", "placement", "placement-delta"):
            self.world.feed("n0", DocSeen(name, b"\xc1{", "late"))
        self.assertEqual(self.world.nodes["n0"].cfg.revision, 1)
        self.world.feed("n0", DocSeen("config", config(2)[:-1], "late"))
        self.assertEqual(self.world.nodes["n0"].cfg.revision, 1)


class ConfigTest(unittest.TestCase):
    def setUp(self):
        self.world = World(nodes=2, seed=1, loss=0.0)
        self.world.accept(["n0", "n1"])
        self.world.accept(["n0"])
        self.world.accept(["n0"])

    def request(self, revision: int) -> list[DocReply]:
        """Request n0's configuration for n1; return the replies without delivering them."""
        event = PeerMessage("n1", DocRequest("config", revision))
        effects = reduce(self.world.nodes["n0"], event, self.world.now, WALL)
        return [effect.message for effect in effects if isinstance(effect, SendPeer)]

    def test_a_peer_some_revisions_behind_receives_deltas(self):
        replies = self.request(1)
        self.assertEqual([reply.name for reply in replies], ["config-delta", "config-delta"])
        for reply in replies:
            self.world.feed("n1", PeerMessage("n0", reply))
        self.assertEqual(self.world.nodes["n1"].cfg, self.world.nodes["n0"].cfg)
        self.assertEqual([reply.revision for reply in self.request(2)], [3])

    def test_a_new_node_receives_the_full_document(self):
        replies = self.request(0)
        self.assertEqual([reply.name for reply in replies], ["config"])
        self.world.start("n1")
        self.world.feed("n1", PeerMessage("n0", replies[0]))
        self.assertEqual(self.world.nodes["n1"].cfg, self.world.nodes["n0"].cfg)

    def test_a_delta_from_another_revision_is_dropped(self):
        self.world.feed("n1", PeerMessage("n0", self.request(2)[0]))
        self.assertEqual(self.world.nodes["n1"].cfg.revision, 1)

    def test_a_delta_with_a_wrong_digest_is_dropped_and_the_full_document_requested(self):
        delta = msgspec.msgpack.decode(self.request(1)[0].data, type=ConfigDelta)
        data = msgspec.msgpack.encode(delta._replace(digest=delta.digest ^ 1))
        event = PeerMessage("n0", DocReply("config-delta", 2, data))
        effects = reduce(self.world.nodes["n1"], event, self.world.now, WALL)
        self.assertIn(SendPeer("n0", DocRequest("config", 0)), effects)
        self.assertEqual(self.world.nodes["n1"].cfg.revision, 1)
