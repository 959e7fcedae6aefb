from __future__ import annotations

import time
import unittest

from tests.harness.cluster import Cluster
from tests.harness.process import wait_for

STOP_BOUND_S = 25.0


class StopSignalsTest(unittest.TestCase):
    def test_a_second_signal_ends_a_stopping_node_at_once(self) -> None:
        with Cluster(deployment="tiny", nodes=2) as cluster:
            cluster.wait_ready()
            node = cluster.nodes["node-1"]
            node.stop()
            for _ in range(5):
                time.sleep(0.1)
                node.stop()
            self.assertTrue(node.is_running())
            wait_for(lambda: not node.is_running(), STOP_BOUND_S, "the node ends")
            assert node.child is not None
            self.assertEqual(node.child.returncode, 0, node.text()[-500:])


if __name__ == "__main__":
    unittest.main()
