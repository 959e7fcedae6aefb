from __future__ import annotations

import unittest

import httpx
import trio
import trio.testing

from returns.result import Failure

from cactussaddle_common.store import EtcdStore
from cactussaddle_common.storeapi import Snapshot
from cactussaddle_common.storeapi import StoreCall
from cactussaddle_common.storeapi import StoreErrorKind
from cactussaddle_common.storeapi import Update
from cactussaddle_common.storeapi import WatchBatch
from tests.common.fake_etcd import FakeEtcd


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.fake = FakeEtcd()

    def run_store(self, use):
        async def main():
            async with EtcdStore(
                endpoint="http://127.0.0.1:1", timeout_s=1.0, transport=self.fake.transport()
            ) as store:
                return await use(store)

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))

    def test_swap_succeeds_once_and_returns_the_current_entry_on_failure(self):
        async def use(store):
            first = await store.compare_and_swap("/a", b"1", 0, extra_puts=(("/h/1", b"h"),))
            second = await store.compare_and_swap("/a", b"2", 0, extra_puts=(("/h/2", b"h"),))
            return first.unwrap(), second.unwrap(), (await store.get_prefix("/h/")).unwrap()

        first, second, history = self.run_store(use)
        self.assertTrue(first.succeeded)
        self.assertFalse(second.succeeded)
        self.assertEqual(second.current.value, b"1")
        self.assertEqual([entry.key for entry in history.entries], ["/h/1"])

    def test_swap_with_the_revision_read(self):
        async def use(store):
            await store.compare_and_swap("/a", b"1", 0)
            entry = (await store.get("/a")).unwrap()
            swap = (await store.compare_and_swap("/a", b"2", entry.mod_revision)).unwrap()
            return (
                swap.succeeded,
                (await store.get("/a")).unwrap().value,
                (await store.get("/b")).unwrap(),
            )

        self.assertEqual(self.run_store(use), (True, b"2", None))

    def test_group_writes_keys_independently_in_one_call(self):
        async def use(store):
            await store.compare_and_swap("/k2", b"old", 0)
            created = (await store.create_many([("/k1", b"a"), ("/k2", b"b")])).unwrap()
            updated = (
                await store.update_many(
                    [
                        Update("/k1", b"c", created[0].revision),
                        Update("/k2", b"d", created[0].revision),
                    ]
                )
            ).unwrap()
            return created, updated, store.calls

        created, updated, calls = self.run_store(use)
        self.assertEqual([outcome.succeeded for outcome in created], [True, False])
        self.assertEqual(created[1].current.value, b"old")
        self.assertEqual([outcome.succeeded for outcome in updated], [True, False])
        self.assertEqual(calls, {StoreCall.WRITE: 3})

    def test_group_with_duplicate_keys_is_rejected_without_a_call(self):
        async def use(store):
            return (await store.create_many([("/k", b"a"), ("/k", b"b")])).failure().kind

        self.assertIs(self.run_store(use), StoreErrorKind.REJECTED)
        self.assertEqual(self.fake.paths, [])

    def test_error_kind_of_each_fault(self):
        cases = [
            (httpx.ConnectError("refused"), StoreErrorKind.UNAVAILABLE),
            (httpx.ConnectTimeout("slow"), StoreErrorKind.UNAVAILABLE),
            (httpx.ReadError("reset"), StoreErrorKind.UNKNOWN),
            (httpx.RemoteProtocolError("closed"), StoreErrorKind.UNKNOWN),
            (503, StoreErrorKind.UNKNOWN),
            (400, StoreErrorKind.REJECTED),
            ("hang", StoreErrorKind.UNKNOWN),
        ]
        for fault, kind in cases:
            with self.subTest(fault=fault):

                async def use(store, fault=fault):
                    self.fake.fault = lambda path: fault
                    return (await store.compare_and_swap("/a", b"1", 0)).failure().kind

                self.assertIs(self.run_store(use), kind)

    def test_read_without_response_is_unavailable(self):
        async def use(store):
            self.fake.fault = lambda path: "hang"
            return (await store.get("/a")).failure().kind, trio.current_time()

        kind, _ = self.run_store(use)
        self.assertIs(kind, StoreErrorKind.UNAVAILABLE)

    def test_write_with_lost_response_is_unknown_but_took_effect(self):
        async def use(store):
            self.fake.after = lambda path: httpx.ReadError("cut") if "txn" in path else None
            swap = await store.compare_and_swap("/a", b"mine", 0)
            return swap.failure().kind, (await store.get("/a")).unwrap().value

        self.assertEqual(self.run_store(use), (StoreErrorKind.UNKNOWN, b"mine"))

    def test_delete_and_lease(self):
        async def use(store):
            await store.compare_and_swap("/a", b"1", 0)
            deleted = [(await store.delete("/a")).unwrap() for _ in range(2)]
            lease = (await store.lease_grant(5)).unwrap()
            ttl = (await store.lease_keepalive(lease)).unwrap()
            gone = (await store.lease_keepalive(78)).unwrap()
            return deleted, ttl, gone, (await store.lease_revoke(lease)).unwrap()

        self.assertEqual(self.run_store(use), ([1, 0], 5, 0, None))

    def test_get_prefix_returns_a_snapshot(self):
        async def use(store):
            return (await store.get_prefix("/none/")).unwrap()

        self.assertEqual(self.run_store(use), Snapshot((), 1))

    def watch_all(self):
        async def use(store):
            started = trio.current_time()
            async with store.watch("/a", 2) as batches:
                seen = [batch async for batch in batches]
            return seen, trio.current_time() - started, store.calls

        return self.run_store(use)

    def test_watch_yields_changes_and_ends_when_the_stream_ends(self):
        kv = {"key": "L2E=", "value": "MQ==", "mod_revision": "3"}
        gone = {"key": "L2E=", "mod_revision": "4"}
        self.fake.watch_lines = [
            {"result": {"header": {"revision": "2"}, "created": True}},
            {"result": {"header": {"revision": "3"}, "events": [{"kv": kv}]}},
            {"result": {"header": {"revision": "4"}, "events": [{"type": "DELETE", "kv": gone}]}},
        ]
        seen, _, calls = self.watch_all()
        self.assertEqual(seen[0].unwrap(), WatchBatch(2, ()))
        self.assertEqual(seen[1].unwrap().events, (("/a", b"1", 3),))
        self.assertEqual(seen[2].unwrap().events, (("/a", None, 4),))
        self.assertIsInstance(seen[3], Failure)
        self.assertEqual(calls, {StoreCall.WATCH: 1})

    def test_silent_watch_ends_after_three_seconds(self):
        progress = {"result": {"header": {"revision": "2"}}}
        self.fake.watch_lines = [progress, 2.5, progress, 60.0]
        seen, took_s, _ = self.watch_all()
        self.assertEqual(len(seen), 3)
        self.assertIn("silent", seen[2].failure().detail)
        self.assertAlmostEqual(took_s, 5.5, delta=0.1)

    def test_watch_cancelled_by_compaction_reports_the_revision(self):
        self.fake.watch_lines = [{"result": {"canceled": True, "compact_revision": "9"}}]
        seen, _, _ = self.watch_all()
        self.assertIn("before 9", seen[0].failure().detail)
