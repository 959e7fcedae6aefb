from __future__ import annotations

import unittest

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactussaddle_core.config.model import MoveState
from cactussaddle_core.edge import events as ev
from cactussaddle_core.hold.trials import TrialRecord
from cactussaddle_core.rollouts.model import RolloutOrder
from cactussaddle_core.rollouts.model import RolloutStatus
from cactussaddle_core.spread.model import Member
from cactussaddle_core.spread.model import Record
from cactussaddle_platform.records import RecordError
from cactussaddle_platform.records import decode_config
from cactussaddle_platform.records import decode_leaf
from cactussaddle_platform.records import decode_rollout
from cactussaddle_platform.records import decode_rollout_status
from cactussaddle_platform.records import decode_trial
from cactussaddle_platform.records import encode_rollout_status
from cactussaddle_platform.records import encode_trial
from cactussaddle_platform.registry import combine_listing
from cactussaddle_platform.registry import read_change

if TYPE_CHECKING:
    from collections.abc import Iterable

LEAF = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "limerick",
    "version": "v1",
    "max_concurrency": 6,
    "state": "ready",
    "cold_left_ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}
OPTIONAL = {"born"}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
GATHER = {
    "name": "r1",
    "host": "Leno12.example",
    "prefix": "/a/",
    "type": "safe",
    "timeout_ms": 1000,
    "slo_ms": 165,
    "priority": 2,
    "gather": ["s1", "s2"],
    "max_attempts": 2,
    "top_k": 5,
    "least": 0.75,
    "allowed_regions": ["sierra"],
}
SPLIT = {
    "name": "r2",
    "host": "h",
    "prefix": "/b/",
    "type": "unsafe",
    "timeout_ms": 6000,
    "slo_ms": 1000,
    "priority": 0,
    "traffic_split": [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}],
    "max_attempts": 2,
    "allowed_regions": [],
}
SERVICE = {"name": "s1", "health_path": "/healthz", "max_conns": 46, "cold_per_s": 2.5}

NESTED = b'{"a":' + 10_000 * b"[" + 10_000 * b"]" + b"}"


def encode(value) -> bytes:
    return msgspec.json.encode(value)


def config(**changes):
    made = {"version": 7, "routes": [GATHER, SPLIT], "services": [SERVICE], "limits": LIMITS}
    return encode({**made, **changes})


class ConfigTest(unittest.TestCase):
    def test_routes_services_and_limits(self):
        table = decode_config(config())
        gather: Any = table.find("leno12.example", "/a/x")
        self.assertEqual((gather.shards, gather.least, gather.top), (("s1", "s2"), 0.75, 5))
        self.assertEqual((gather.objective_s, gather.regions), (0.165, frozenset({"sierra"})))
        split: Any = table.find("h", "/b/")
        self.assertFalse(split.idempotent)
        self.assertEqual([(t.service, t.weight) for t in split.targets], [("a", 3.0), ("b", 1.0)])
        self.assertEqual(table.services["s1"].max_connections, 46)
        self.assertEqual(table.limits.idle_timeout_s, 15.0)

    def test_a_route_with_a_plain_service_has_it_as_its_only_target(self):
        plain = {**SPLIT, "service": "a"}
        del plain["traffic_split"]
        route = decode_config(config(routes=[plain])).routes["r2"]
        self.assertEqual([target.service for target in route.targets], ["a"])

    def test_an_unknown_route_type_is_not_idempotent(self):
        route = decode_config(config(routes=[{**SPLIT, "type": "novel"}])).routes["r2"]
        self.assertFalse(route.idempotent)

    def test_a_malformed_configuration_is_rejected(self):
        for data in (b"", b"[]", config(version="x"), config(routes=[{"name": "r"}])):
            with self.subTest(data=data[:40]), self.assertRaises(RecordError):
                decode_config(data)


class LeafTest(unittest.TestCase):
    def test_a_leaf_entry_is_decoded(self):
        entry = decode_leaf("servers/i-7", encode(LEAF))
        self.assertEqual((entry.leaf, entry.host, entry.port), ("i-7", "10.128.0.9", 8080))
        self.assertEqual((entry.draining, entry.cold_left_s, entry.slots), (False, 1.5, 6))

    def test_a_malformed_leaf_entry_is_rejected(self):
        for changes in (
            {"address": "nowhere"},
            {"address": "10.128.0.9:\u00b2"},
            {"address": "10.128.0.9:" + 5000 * "9"},
            {"address": "10.128.0.9:65536"},
            {"address": "10.128.0.9:0"},
            {"address": ":80"},
            {"address": "\u03bb:80"},
            {"address": "10.128.0.9\r\nX: y:80"},
            {"address": 7},
            {"state": "dancing"},
            {"service": None},
            {"zone": ["a"]},
            {"cold_left_ms": "long"},
        ):
            with self.subTest(changes=changes), self.assertRaises(RecordError):
                decode_leaf("servers/i-7", encode({**LEAF, **changes}))
        with self.assertRaises(RecordError):
            decode_leaf("servers/i-7", b"\xff\x00")

    def test_id_that_no_header_can_name_is_rejected(self):
        """Guards against calls that can't be encoded, and against headers from the store's keys."""
        for name in ("", "\u03bb", "i 7", "i-7\r\nX: y"):
            with self.subTest(name=name), self.assertRaises(RecordError):
                decode_leaf(f"servers/{name}", encode(LEAF))

    def test_an_entry_without_the_time_of_its_start_names_a_leaf(self):
        """The platform's examples of entries have no `born`."""
        entry = {name: value for name, value in LEAF.items() if name not in OPTIONAL}
        self.assertEqual(decode_leaf("servers/i-7", encode(entry)).born_ms, 0)

    def test_an_entry_that_lacks_a_field_names_no_leaf(self):
        for field in LEAF.keys() - OPTIONAL:
            entry = {name: value for name, value in LEAF.items() if name != field}
            with self.subTest(field=field), self.assertRaises(RecordError):
                decode_leaf("servers/i-7", encode(entry))


ROLLOUT = {"service": "huvo11a", "target_version": "v2", "duration_s": 12}


class RolloutTest(unittest.TestCase):
    def test_a_rollout_order_is_decoded(self):
        order = decode_rollout("op/rollout/huvo11a", encode(ROLLOUT), 7)
        self.assertEqual(order, RolloutOrder("huvo11a", "v2", 12.0, 7))

    def test_a_malformed_rollout_order_is_rejected_with_its_key(self):
        for changes in ({"duration_s": 0}, {"duration_s": "long"}, {"target_version": 2}):
            with self.subTest(changes=changes), self.assertRaisesRegex(RecordError, "huvo11a"):
                decode_rollout("op/rollout/huvo11a", encode({**ROLLOUT, **changes}), 7)

    def test_a_rollout_status_round_trips(self):
        for state in (MoveState.UNDER_WAY, MoveState.DONE, MoveState.TAKEN_BACK):
            data = encode_rollout_status("v2", state)
            status = decode_rollout_status("status/rollout/huvo11a", data, 9)
            self.assertEqual(status, RolloutStatus("huvo11a", "v2", state, 9))
        self.assertEqual(
            msgspec.json.decode(encode_rollout_status("v2", MoveState.TAKEN_BACK)),
            {"state": "rolled_back", "target_version": "v2"},
        )
        with self.assertRaises(RecordError):
            decode_rollout_status("status/rollout/a", encode({"state": "x"}), 9)

    def test_rollout_changes_and_listing(self):
        record = Record("op/rollout/huvo11a", encode(ROLLOUT), 7)
        order = RolloutOrder("huvo11a", "v2", 12.0, 7)
        self.assertEqual(read_change(record), [ev.RolloutOrdered(order)])
        self.assertEqual(read_change(record._replace(value=None)), [ev.RolloutCleared("huvo11a")])
        data = encode_rollout_status("v2", MoveState.DONE)
        status = Record("status/rollout/huvo11a", data, 9)
        listed = [e for e in listing([record, status]) if isinstance(e, ev.RolloutsListed)]
        known = RolloutStatus("huvo11a", "v2", MoveState.DONE, 9)
        self.assertEqual(listed, [ev.RolloutsListed((order,), (known,))])


class TrialTest(unittest.TestCase):
    def test_a_record_round_trips(self):
        record = TrialRecord("ab12", 2, ("base1a", "base2a"), 9, "n1/7/3")
        read = decode_trial("cactussaddle/trials/ab12", encode_trial(record), 9)
        self.assertEqual(read, record)

    def test_a_malformed_record_is_rejected_with_its_key(self):
        for value in (b"{", b"{}", b'{"trials": -1}', b'{"trials": "1"}'):
            with self.assertRaisesRegex(RecordError, "cactussaddle/trials/ab"):
                decode_trial("cactussaddle/trials/ab", value, 1)

    def test_changes_and_listing(self):
        record = TrialRecord("ab", 1, ("s",), 5)
        stored = Record("cactussaddle/trials/ab", encode_trial(record), 5)
        self.assertEqual(read_change(stored), [ev.TrialSeen(record)])
        removed = Record("cactussaddle/trials/ab", None, 6)
        self.assertEqual(read_change(removed), [ev.TrialRemoved("ab", 6)])
        self.assertIn(ev.TrialsListed((record,)), listing([stored]))


def listing(records: Iterable[Record]) -> list[ev.Event]:
    return combine_listing([event for record in records for event in read_change(record)])


class RegistryTest(unittest.TestCase):
    def test_a_listing_becomes_one_event_of_each_kind(self):
        member = Member("n1", "10.1.0.1", 7740, "limerick")
        records = (
            Record("servers/i-7", encode(LEAF), 1),
            Record("servers/bad", b"?", 2),
            Record("op/config", config(), 3),
            Record("op/evacuate/limerick", b"{}", 4),
            Record("cactussaddle/nodes/n1", encode(member), 5),
            Record("cactussaddle/roster/n1", b"?", 5),
            Record("cactussaddle/roster/n2", b"[]", 5),
            Record("unknown", b"x", 6),
        )
        events: dict[Any, Any] = {type(event): event for event in listing(records)}
        self.assertEqual([e.leaf for e in events[ev.LeavesListed].entries], ["i-7"])
        self.assertEqual(events[ev.DomainsListed].domains, {"limerick"})
        self.assertEqual(events[ev.MembersListed].members, (member,))
        self.assertEqual(events[ev.RosterListed].nodes, {"n1", "n2"})
        self.assertEqual(events[ev.TableSeen].table.version, 7)
        self.assertEqual(events[ev.RecordRejected].key, "servers/bad")

    def test_changes(self):
        self.assertEqual(read_change(Record("servers/i-7", None, 8)), [ev.LeafRemoved("i-7")])
        restored = read_change(Record("op/evacuate/limerick", None, 9))
        self.assertEqual(restored, [ev.DomainMarked("limerick", False)])
        self.assertEqual(read_change(Record("op/config", None, 9)), [])
        self.assertEqual(
            read_change(Record("cactussaddle/nodes/n1", None, 9)), [ev.MemberGone("n1")]
        )
        left = read_change(Record("cactussaddle/roster/n1", None, 9))
        self.assertEqual(left, [ev.RosterChanged("n1", False)])

    def test_a_leaf_whose_entry_becomes_malformed_is_removed(self):
        for value in (b"{}", NESTED):
            events = read_change(Record("servers/i-7", value, 9))
            self.assertEqual(events[-1], ev.LeafRemoved("i-7"))
            self.assertIsInstance(events[0], ev.RecordRejected)


if __name__ == "__main__":
    unittest.main()
