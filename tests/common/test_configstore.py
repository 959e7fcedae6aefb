from __future__ import annotations

import unittest

from typing import Any

import httpx
import trio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure

from cactussaddle_common.configstore import Accepted
from cactussaddle_common.configstore import LostRace
from cactussaddle_common.configstore import create_verdict
from cactussaddle_common.configstore import expired_verdicts
from cactussaddle_common.configstore import read_config
from cactussaddle_common.configstore import read_revision
from cactussaddle_common.configstore import write_config
from cactussaddle_common.store import EtcdStore
from cactussaddle_common.storeapi import StoreErrorKind
from cactussaddle_core.config.change import next_doc
from tests.common.fake_etcd import FakeEtcd
from tests.core.config.samples import move
from tests.core.config.samples import sample_doc

HISTORY_BYTES = 1_000_000
OPERATORS = 3
FAULTS = ("ok", "refused", "lost", "reset")


async def read(store) -> Any:
    return (await read_config(store)).unwrap()


def doc_of(base, change_id):
    return next_doc(base, change_id, [move("domain-out", "dublin", id=change_id)])


class ConfigStoreTest(unittest.TestCase):
    def run_store(self, use):
        async def main():
            fake = FakeEtcd()
            async with EtcdStore(
                endpoint="http://127.0.0.1:1", timeout_s=1.0, transport=fake.transport()
            ) as store:
                await write_config(store, sample_doc(), None, HISTORY_BYTES)
                return await use(store, fake)

        return trio.run(main)

    def test_write_with_lost_response_is_accepted_after_being_replaced(self):
        async def use(store, fake):
            stored = await read(store)
            mine = doc_of(stored.doc, "mine")

            async def replace():
                fake.after = lambda path: None
                now = await read(store)
                await write_config(store, doc_of(now.doc, "other"), now, HISTORY_BYTES)

            original = store.compare_and_swap

            async def swap_with_lost_response(*args, **kwargs):
                store.compare_and_swap = original
                fake.after = lambda path: httpx.ReadError("cut")
                swap = await original(*args, **kwargs)
                await replace()
                return swap

            store.compare_and_swap = swap_with_lost_response
            return (await write_config(store, mine, stored, HISTORY_BYTES)).unwrap()

        outcome = self.run_store(use)
        self.assertIsInstance(outcome, Accepted)
        self.assertEqual(outcome.doc["change_id"], "mine")
        self.assertEqual(outcome.replaced_by["change_id"], "other")

    def test_verdict_is_created_once(self):
        async def use(store, fake):
            done: Any = {"state": "done", "at": 1.0, "reason": "", "node": "e1"}
            rolled_back: Any = {"state": "taken back", "at": 2.0, "reason": "", "node": "e2"}
            fake.after = lambda path: httpx.ReadError("cut")
            unknown = await create_verdict(store, "m", done)
            fake.after = lambda path: None
            return unknown, (await create_verdict(store, "m", rolled_back)).unwrap()

        unknown, stored = self.run_store(use)
        self.assertIs(unknown.failure().kind, StoreErrorKind.UNKNOWN)
        self.assertEqual(stored["state"], "done")

    def test_verdicts_expire_after_a_month_unless_planned(self):
        def verdict(at) -> Any:
            return {"state": "done", "at": at, "reason": "", "node": ""}

        month_s = 30 * 86400.0
        verdicts = {"old": verdict(1.0), "planned": verdict(1.0), "new": verdict(3.0)}
        doc = doc_of(sample_doc(), "planned")
        self.assertEqual(expired_verdicts(doc, verdicts, month_s + 2.0), ["old"])

    @settings(max_examples=150, derandomize=True, database=None, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, OPERATORS - 1),
                st.booleans(),
                st.lists(st.sampled_from(FAULTS), max_size=4),
            ),
            max_size=12,
        )
    )
    def test_reported_outcomes_match_the_stored_history(self, steps):
        self.run_store(lambda store, fake: self.race(store, fake, steps))

    async def race(self, store, fake, steps):
        """In each step an operator reads the configuration or keeps its old base, then writes."""
        first = await read(store)
        bases = [first] * OPERATORS
        outcomes: dict[str, object] = {}
        for number, (operator, fresh, faults) in enumerate(steps):
            if fresh:
                bases[operator] = await read(store)
            base = bases[operator]
            change_id = f"change-{number}"
            self.inject(fake, list(faults))
            outcomes[change_id] = await write_config(
                store, doc_of(base.doc, change_id), base, HISTORY_BYTES
            )
            self.inject(fake, [])
        self.check(await self.accepted(store), outcomes)

    def inject(self, fake, faults):
        def before(path):
            fault = faults[0] if faults else "ok"
            if fault == "lost":
                return None
            if faults:
                faults.pop(0)
            return {"refused": httpx.ConnectError("x"), "reset": httpx.ReadError("x")}.get(fault)

        def after(path):
            return httpx.ReadError("cut") if faults and faults.pop(0) == "lost" else None

        fake.fault, fake.after = before, after

    async def accepted(self, store):
        newest = (await read(store)).doc
        revisions = range(1, newest["revision"] + 1)
        kept: list[Any] = [(await read_revision(store, number)).unwrap() for number in revisions]
        self.assertEqual(kept[-1], newest)
        return [doc["change_id"] for doc in kept]

    def check(self, accepted, outcomes):
        self.assertEqual(len(accepted), len(set(accepted)))
        for change_id, outcome in outcomes.items():
            if isinstance(outcome, Failure):
                if outcome.failure().kind is not StoreErrorKind.UNKNOWN:
                    self.assertNotIn(change_id, accepted)
            elif isinstance(outcome.unwrap(), Accepted):
                self.assertIn(change_id, accepted)
            else:
                self.assertIsInstance(outcome.unwrap(), LostRace)
                self.assertNotIn(change_id, accepted)
