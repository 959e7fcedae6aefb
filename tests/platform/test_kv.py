from __future__ import annotations

import base64
import time
import unittest

from contextlib import suppress
from typing import Any

import msgspec
import trio

from returns.result import Failure

from cactussaddle_common.storeapi import StoreErrorKind
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.hold.trials import RemoveTrial
from cactussaddle_core.hold.trials import TrialRecord
from cactussaddle_core.hold.trials import WriteTrial
from cactussaddle_core.limits.roster import Enrolment
from cactussaddle_core.limits.roster import RosterRecord
from cactussaddle_core.rollouts.model import RecordRollout
from cactussaddle_core.rollouts.model import RolloutOrder
from cactussaddle_platform.kv import Condition
from cactussaddle_platform.kv import KvStore
from cactussaddle_platform.kv import Put
from cactussaddle_platform.records import decode_roster
from cactussaddle_platform.registry import NodeEntry
from cactussaddle_platform.registry import RolloutRecords
from cactussaddle_platform.registry import StoreFeed
from cactussaddle_platform.registry import TrialRecords
from cactussaddle_platform.settings import decode_settings
from tests.node.edge.servers import served
from tests.platform.test_settings import TEXT as SETTINGS

WAIT_S = 0.2


def item(key: str, value: bytes, revision: int) -> dict:
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision, "created_at": 1, "lease": 0}


class Script:
    """Answers each call with the next (status, body) given; None leaves the call unanswered."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.calls: list[tuple[str, Any]] = []

    async def serve(self, stream) -> None:
        async with stream:
            data = b""
            while True:
                while b"\r\n\r\n" not in data:
                    piece = await stream.receive_some()
                    if not piece:
                        return
                    data += piece
                head, _, data = data.partition(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                while len(data) < length:
                    data += await stream.receive_some()
                body, data = data[:length], data[length:]
                first = head.split(b"\r\n")[0].decode()
                self.calls.append((first, msgspec.json.decode(body) if body else None))
                answer = self.answers.pop(0)
                if answer is None:
                    await trio.sleep_forever()
                status, message, *era = answer
                out = msgspec.json.encode(message)
                named = b"Store-Era: %s\r\n" % era[0] if era else b""
                head = b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n"
                await stream.send_all(head % (status, named, len(out)) + out)


class CopyingScript(Script):
    """Sends each answer again just before the next one on its connection; watches wait."""

    async def serve(self, stream) -> None:
        copy = b""
        with suppress(trio.BrokenResourceError):
            while head := await read_head(stream):
                status, message = self.answers.pop(0)
                if copy:
                    await stream.send_all(copy)
                    await trio.sleep(0.01)
                if b"kv-watch" in head and not message["events"]:
                    await trio.sleep(WAIT_S)
                out = msgspec.json.encode(message)
                copy = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(out), out)
                await stream.send_all(copy)


async def read_head(stream) -> bytes:
    """Read one request with its body and return its head; empty at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = await stream.receive_some()
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            while len(body) < int(line.split(b":")[1]):
                body += await stream.receive_some()
    return head


class KvStoreTest(unittest.TestCase):
    def run_store(self, script: Script, use):
        async def main():
            async with served(script.serve) as address, trio.open_nursery() as nursery:
                store = KvStore(address=address, nursery=nursery)
                with trio.fail_after(5.0):
                    result = await use(store)
                store.close()
                return result

        return trio.run(main)

    def test_a_listing_reads_all_pages_and_has_the_revision_of_the_first(self):
        script = Script(
            (200, {"items": [item("a", b"1", 3)], "has_more": True, "as_of": 10}),
            (200, {"items": [item("b", b"2", 12)], "has_more": False, "as_of": 14}),
        )
        batch = self.run_store(script, lambda store: StoreFeed(store=store).listing()).unwrap()
        self.assertEqual([(r.key, r.value) for r in batch.records], [("a", b"1"), ("b", b"2")])
        self.assertEqual((batch.revision, batch.whole), (10, True))
        self.assertIn("after=a", script.calls[1][0])

    def test_the_era_of_each_answer_is_read(self):
        page = {"items": [], "as_of": 3}
        changes = {"events": [], "as_of": 3}
        script = Script((200, page, b"4"), (200, changes, b"5"), (200, changes, b"-1"))

        async def use(store):
            listed = await StoreFeed(store=store).listing()
            feed = StoreFeed(store=store)
            read = [(await feed.changes(3, 0.0, 1.0)).unwrap() for _ in range(2)]
            return [batch and batch.era for batch in (listed.unwrap(), *read)], store.era

        self.assertEqual(self.run_store(script, use), ([4, 5, None], 5))

    def test_an_era_that_is_no_number_is_none(self):
        page = {"items": [], "as_of": 3}
        for era in (b"x", b"-7", b"", b"1.5", b"9" * 400, "³".encode()):
            with self.subTest(era=era[:8]):
                script = Script((200, page, era))
                batch = self.run_store(script, lambda store: StoreFeed(store=store).listing())
                self.assertIsNone(batch.unwrap().era)

    def test_a_watch_beyond_a_restored_store_tells_its_era(self):
        """The store has nothing after that revision, and says so with a lower one of its own."""
        script = Script((200, {"events": [], "as_of": 7}, b"2"), (200, {"events": [], "as_of": 7}))

        async def use(store):
            feed = StoreFeed(store=store)
            return [await feed.changes(10, 0.0, 1.0) for _ in range(2)]

        restored, unnamed = self.run_store(script, use)
        batch = restored.unwrap()
        self.assertEqual((batch.records, batch.revision, batch.whole, batch.era), ((), 7, False, 2))
        self.assertIsInstance(unnamed, Failure)

    def test_pages_of_two_eras_are_no_listing(self):
        script = Script(
            (200, {"items": [item("a", b"1", 3)], "has_more": True, "as_of": 10}, b"1"),
            (200, {"items": [item("b", b"2", 4)], "has_more": False, "as_of": 6}, b"2"),
        )
        outcome = self.run_store(script, lambda store: StoreFeed(store=store).listing())
        self.assertIsInstance(outcome, Failure)

    def test_changes(self):
        events = [item("a", b"2", 11), {"key": "b", "revision": 12, "removed": True}]
        script = Script((200, {"events": events, "as_of": 12}), (410, {}), (503, {}), (429, {}))

        async def use(store):
            return [await store.changes("", 10, 0.0) for _ in range(4)]

        first, compacted, unavailable, throttled = self.run_store(script, use)
        self.assertEqual([r.value for r in first.unwrap().records], [b"2", None])
        self.assertIsNone(compacted.unwrap())
        self.assertIs(unavailable.failure().kind, StoreErrorKind.UNAVAILABLE)
        self.assertIs(throttled.failure().kind, StoreErrorKind.UNAVAILABLE)

    def test_a_transaction_is_committed_or_returns_the_current_records(self):
        script = Script((200, {"revision": 9}), (412, {"items": [item("k", b"theirs", 8)]}))

        async def use(store):
            write = [Condition("k", 0)], [Put("k", b"mine", 5)], ["old"]
            return [await store.write(*write) for _ in range(2)]

        accepted, rejected = (outcome.unwrap() for outcome in self.run_store(script, use))
        self.assertTrue(accepted.committed)
        self.assertEqual(
            (rejected.committed, rejected.current_records[0].value), (False, b"theirs")
        )
        message = script.calls[0][1]
        self.assertEqual(message["precondition"], [{"key": "k", "revision": 0}])
        self.assertEqual(base64.b64decode(message["puts"][0]["value"]), b"mine")
        self.assertEqual(message["deletes"], ["old"])

    def test_a_call_without_an_answer_has_an_unknown_outcome(self):
        async def use(store):
            return await store.renew_lease(5, 0.1)

        outcome = self.run_store(Script(None), use)
        self.assertIsInstance(outcome, Failure)
        self.assertIs(outcome.failure().kind, StoreErrorKind.UNKNOWN)

    def test_renewal_reports_an_expired_lease(self):
        script = Script((200, {"lease": 7, "ttl_ms": 3000}), (404, {}), (200, {"ttl_ms": 3000}))

        async def use(store):
            lease = (await store.grant_lease(3.0)).unwrap()
            expired = (await store.renew_lease(7, 1.0)).unwrap()
            return lease, expired, (await store.renew_lease(7, 1.0)).unwrap()

        lease, expired, renewed = self.run_store(script, use)
        self.assertEqual((lease.lease, lease.ttl_s), (7, 3.0))
        self.assertEqual((expired, renewed), (False, True))

    def test_second_copy_of_an_answer_is_not_taken_for_the_next_one(self):
        """Guards against writes, leases and listings that go by the answer to an earlier request.

        Each answer is sent a second time just before the next one on its connection.
        """
        unchanged = (200, {"events": [], "as_of": 10})
        script = CopyingScript(
            unchanged,
            (412, {"items": [item("k", b"theirs", 8)]}),
            unchanged,
            (404, {}),
            unchanged,
            (200, {"items": [item("a", b"1", 3)], "has_more": False, "as_of": 10}),
        )

        async def use(store):
            await store.changes("", 10, WAIT_S)
            written = (await store.write([Condition("k", 0)], [Put("k", b"mine")], [])).unwrap()
            await store.changes("", 10, WAIT_S)
            renewed = (await store.renew_lease(5, 1.0)).unwrap()
            await store.changes("", 10, WAIT_S)
            listed = (await store.page("")).unwrap()
            return written.committed, renewed, [record.key for record in listed.records]

        self.assertEqual(self.run_store(script, use), (False, False, ["a"]))

    def test_copy_of_a_watchs_answer_is_a_failure_of_the_next_watch(self):
        one = {"events": [item("a", b"1", 11)], "as_of": 11}
        two = {"events": [item("a", b"2", 12)], "as_of": 12}
        none = {"events": [], "as_of": 10}
        cases = {
            "changes": ((10, one), (11, two)),
            "no changes": ((10, none), (10, none)),
            "older": ((10, none), (11, two)),
        }
        for name, ((first_after, first), (after, second)) in cases.items():
            script = CopyingScript((200, first), (200, second), (200, second))

            async def use(store, first_after=first_after, after=after):
                return [await store.changes("", at, WAIT_S) for at in (first_after, after, after)]

            _, copied, read = self.run_store(script, use)
            with self.subTest(name):
                self.assertIsInstance(copied, Failure)
                self.assertIs(copied.failure().kind, StoreErrorKind.UNKNOWN)
                self.assertEqual(read.unwrap().revision, second["as_of"])

    def test_an_answer_that_never_comes_is_missed_in_time_and_its_connection_is_closed(self):
        """The times of records.md rest on this time-out."""
        script = Script((200, {"events": [], "as_of": 10}), None, None)

        async def use(store):
            await store.changes("", 10, WAIT_S)
            began = trio.current_time()
            lost = await store.changes("", 10, WAIT_S, 0.3)
            took_s = trio.current_time() - began
            return lost, took_s, len(store._pool.channels)

        lost, took_s, connections = self.run_store(script, use)
        self.assertIsInstance(lost, Failure)
        self.assertLess(took_s, WAIT_S + 0.3 + 0.2)
        self.assertEqual(connections, 0)

    def test_malformed_answers_are_failures(self):
        invalid_base64 = {"items": [{"key": "a", "value": "!", "revision": 1}], "as_of": 1}
        script = Script((200, {"items": 3}), (200, invalid_base64))

        async def use(store):
            return [await store.page("") for _ in range(2)]

        for outcome in self.run_store(script, use):
            self.assertIsInstance(outcome, Failure)

    def test_a_rollout_status_is_written_only_over_the_known_revisions(self):
        recording = RecordRollout(
            RolloutOrder("huvo11a", "v2", 12.0, 7), MoveState.DONE, "done in time", 9
        )
        script = Script((200, {"revision": 12}), (412, {"items": []}))

        async def use(store):
            records = RolloutRecords(store=store)
            return (await records.write(recording)).unwrap(), (
                await records.write(recording)
            ).unwrap()

        self.assertEqual(self.run_store(script, use), (True, False))
        body = script.calls[0][1]
        self.assertEqual(
            body["precondition"],
            [
                {"key": "op/rollout/huvo11a", "revision": 7},
                {"key": "status/rollout/huvo11a", "revision": 9},
            ],
        )
        self.assertEqual(body["puts"][0]["key"], "status/rollout/huvo11a")

    def test_a_trial_record_is_written_and_removed_only_at_the_known_revision(self):
        record = TrialRecord("ab", 1, ("s",), 4, "n1/7/3")
        script = Script((200, {"revision": 5}), (412, {"items": []}), (200, {"revision": 6}))

        async def use(store):
            records = TrialRecords(store=store)
            written = [(await records.write(WriteTrial(record))).unwrap() for _ in range(2)]
            return written, (await records.remove(RemoveTrial("ab", 5))).unwrap()

        self.assertEqual(self.run_store(script, use), ([5, None], True))
        condition = {"key": "cactussaddle/trials/ab", "revision": 4}
        self.assertEqual(script.calls[0][1]["precondition"], [condition])
        self.assertEqual(script.calls[2][1]["deletes"], ["cactussaddle/trials/ab"])


class EnrolTest(unittest.TestCase):
    """The first registration of a process reads and replaces its node's record in the roster."""

    OTHER = "cactussaddle/roster/front-sierra-quito-10"
    KEY = "cactussaddle/roster/front-sierra-quito-1"

    def register(self, script: Script, times: int) -> tuple[list[Any], list[Enrolment]]:
        enrolled: list[Enrolment] = []

        async def main() -> list[Any]:
            async with served(script.serve) as address, trio.open_nursery() as nursery:
                store = KvStore(address=address, nursery=nursery)
                cfg = decode_settings(SETTINGS)
                entry = NodeEntry(store=store, cfg=cfg, process="this", enrolled=enrolled.append)
                leases = [await entry.write_entry(20.0) for _ in range(times)]
                store.close()
                return leases

        return trio.run(main), enrolled

    def test_a_new_node(self) -> None:
        lease = (200, {"lease": 8, "ttl_ms": 20000})
        other = item(self.OTHER, b"{}", 3)
        page = (200, {"items": [other], "as_of": 4})
        script = Script(lease, page, (200, {"revision": 5}), lease, (200, {"revision": 6}))
        leases, enrolled = self.register(script, 2)
        self.assertEqual([one.unwrap() for one in leases], [8, 8])
        self.assertEqual(enrolled, [Enrolment(was_listed=False, has_reserve=True)])
        first, second = script.calls[2][1], script.calls[4][1]
        self.assertEqual(first["precondition"], [{"key": self.KEY, "revision": 0}])
        self.assertEqual([put["key"] for put in first["puts"]][1], self.KEY)
        # The record outlives the lease, and each registration writes it as it was.
        self.assertEqual([put["lease"] for put in first["puts"]], [8, 0])
        self.assertEqual(second["puts"][1], first["puts"][1])

    def test_a_node_that_was_granted_its_reserve_a_moment_ago(self) -> None:
        granted_ms = 1000.0 * time.time() - 500.0
        known = item(self.KEY, msgspec.json.encode(RosterRecord("earlier", granted_ms)), 3)
        page = (200, {"items": [known], "as_of": 4})
        lease = (200, {"lease": 8, "ttl_ms": 20000})
        script = Script(lease, page, (200, {"revision": 5}))
        _, enrolled = self.register(script, 1)
        self.assertEqual(enrolled, [Enrolment(was_listed=True, has_reserve=False)])
        written = decode_roster(base64.b64decode(script.calls[2][1]["puts"][1]["value"]))
        self.assertEqual(written, RosterRecord("this", granted_ms))

    def test_a_record_changed_meanwhile_is_read_again(self) -> None:
        lease = (200, {"lease": 8, "ttl_ms": 20000})
        page = (200, {"items": [], "as_of": 4})
        no_rows: list[Any] = []
        changed = (412, {"items": no_rows})
        script = Script(lease, page, changed, lease, page, (200, {"revision": 6}))
        leases, enrolled = self.register(script, 2)
        self.assertIsInstance(leases[0], Failure)
        self.assertEqual((leases[1].unwrap(), len(enrolled)), (8, 1))


if __name__ == "__main__":
    unittest.main()
