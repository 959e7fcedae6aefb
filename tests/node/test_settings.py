from __future__ import annotations

import unittest

from cactussaddle_common.settings import parse
from cactussaddle_node.settings import SETTINGS
from cactussaddle_node.settings import node_settings

REQUIRED = [
    "--node-name=n1",
    "--domain=d1",
    "--listen-host=127.0.0.1",
    "--store=http://127.0.0.1:1",
    "--host-list=http://127.0.0.1:2",
]


class NodeSettingsTest(unittest.TestCase):
    def settings(self, *args):
        return node_settings(parse("t", "", SETTINGS, [*REQUIRED, *args], {}))

    def test_the_advertised_address_defaults_to_the_listening_address(self):
        self.assertEqual(self.settings("--peer-port=7071").advertise_peer, "127.0.0.1:7071")

    def test_an_advertised_address_is_converted_to_text(self):
        cfg = self.settings("--advertise-peer=127.0.1.1:7000")
        self.assertEqual(cfg.advertise_peer, "127.0.1.1:7000")
