from __future__ import annotations

import contextlib
import io
import unittest

from cactussaddle_common.settings import Kind
from cactussaddle_common.settings import Setting
from cactussaddle_common.settings import parse
from cactussaddle_common.values import Address

SETTINGS = (
    Setting("node-name", Kind.TEXT, None, "name"),
    Setting("http-port", Kind.PORT, "8080", "port"),
    Setting("peer", Kind.ADDRESS, "", "a peer"),
    Setting("policy", Kind.CHOICE, "full", "policy", choices=("full", "baseline")),
    Setting("beat-ms", Kind.DURATION_MS, "500", "heartbeat", low=10, high=5000),
    Setting("share", Kind.FLOAT, "0.5", "share", low=0, high=1),
    Setting("store", Kind.URL, "http://127.0.0.1:2379", "store"),
    Setting("listen-host", Kind.HOST, "127.0.0.1", "host"),
    Setting("trace", Kind.BOOL, "false", "trace"),
)


class SettingsTest(unittest.TestCase):
    def parse_error(self, *argv, environ=None):
        err = io.StringIO()
        with contextlib.redirect_stderr(err), self.assertRaises(SystemExit) as caught:
            parse("prog", "does", SETTINGS, argv, environ or {})
        self.assertEqual(caught.exception.code, 2)
        return err.getvalue()

    def test_flag_overrides_variable_overrides_default(self):
        environ = {"CACTUSSADDLE_NODE_NAME": "env", "CACTUSSADDLE_HTTP_PORT": "9"}
        found = parse("prog", "does", SETTINGS, ["--node-name", "flag"], environ)
        self.assertEqual(found["node_name"], "flag")
        self.assertEqual(found["http_port"], 9)
        self.assertEqual(found["beat_ms"], 500)
        self.assertIsNone(found["peer"])
        self.assertIs(found["trace"], False)

    def test_addresses(self):
        argv = ["--node-name", "n", "--peer", "[::1]:80"]
        found = parse("prog", "does", SETTINGS, argv, {})
        self.assertEqual(found["peer"], Address("::1", 80))
        self.assertEqual(str(found["peer"]), "[::1]:80")

    def test_error_for_a_missing_setting_names_flag_and_variable(self):
        err = self.parse_error()
        self.assertIn("--node-name (CACTUSSADDLE_NODE_NAME): missing; allowed: non-empty text", err)

    def test_error_for_an_invalid_value_names_value_and_allowed_values(self):
        invalid = {
            "http-port": ("0", "from 1 to 65535"),
            "peer": ("localhost:80", "127.0.0.1:8000"),
            "policy": ("fast", "full, baseline"),
            "beat-ms": ("9", "whole milliseconds from 10 to 5000"),
            "share": ("nan", "a number from 0 to 1"),
            "store": ("ftp://x", "http://"),
            "listen-host": ("somewhere", "an IP address"),
            "trace": ("maybe", "true or false"),
        }
        environ = {
            f"CACTUSSADDLE_{k.replace('-', '_').upper()}": v for k, (v, _) in invalid.items()
        }
        err = self.parse_error("--node-name", "n", environ=environ)
        lines = err.splitlines()
        self.assertEqual(len(lines), len(invalid))
        for name, (value, allowed) in invalid.items():
            line = next(line for line in lines if f"--{name} " in line)
            self.assertIn(repr(value), line)
            self.assertIn(allowed, line)
