from __future__ import annotations

import json
import logging
import sys
import unittest

from cactussaddle_common.logs import FIELDS_ATTRIBUTE
from cactussaddle_common.logs import JsonFormatter


class LogsTest(unittest.TestCase):
    def line(self, msg, args=(), exc_info=None, **extra):
        record = logging.LogRecord("x", logging.WARNING, "f", 1, msg, args, exc_info)
        record.__dict__.update(extra)
        return json.loads(JsonFormatter(node="n1").format(record))

    def test_fields_are_merged_into_the_line(self):
        fields = {FIELDS_ATTRIBUTE: {"leaf": "a\nb", "odd": object}}
        line = self.line("%s", ("lease lost",), **fields)
        self.assertEqual(line["event"], "lease lost")
        self.assertEqual(line["leaf"], "a\nb")
        self.assertEqual((line["level"], line["node"]), ("warning", "n1"))
        self.assertTrue(line["time"].endswith("+00:00"))

    def test_traceback_is_part_of_the_line(self):
        try:
            raise ValueError("broken")
        except ValueError:
            line = self.line("failed", exc_info=sys.exc_info())
        self.assertIn("ValueError: broken", line["exception"])
