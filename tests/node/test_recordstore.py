from __future__ import annotations

import unittest

import trio

from cactussaddle_common.configstore import read_verdicts
from cactussaddle_common.store import EtcdStore
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.node.effects import RecordMove
from cactussaddle_node.recordstore import record_move
from tests.common.fake_etcd import FakeEtcd


class RecordMoveTest(unittest.TestCase):
    def test_the_stored_final_state_names_the_move_in_its_row(self):
        async def main():
            async with EtcdStore(
                endpoint="http://127.0.0.1:1", timeout_s=1.0, transport=FakeEtcd().transport()
            ) as store:
                effect = RecordMove("m", MoveState.DONE, "done in time", "domain-out dublin")
                await record_move(store, "n1", effect, lambda event: None)
                return (await read_verdicts(store)).unwrap()

        verdict = trio.run(main)["m"]
        self.assertEqual((verdict["state"], verdict["row"]), ("done", "domain-out dublin"))
