"""Output to a reader that stops reading."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest

from pathlib import Path

from tests.harness.process import ROOT
from tests.harness.process import environment

LINE = '{"time":1.0,"node":"n","event":"request_refused","request":"%d","result":"NOT_RUN",'
REST = '"message":"m%d","retry_after_ms":1.0}\n'


class PipeTest(unittest.TestCase):
    def test_a_reader_that_leaves_early_ends_the_command_quietly(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "day.log"
            log.write_text("".join((LINE + REST) % (n, n) for n in range(20_000)))
            argv = [sys.executable, "-m", "cactussaddle_cli.main", "logs", str(log)]
            child = subprocess.Popen(
                argv,
                cwd=ROOT,
                env=environment() | {"PYTHONUNBUFFERED": "1"},
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
            )
            assert child.stdout is not None and child.stderr is not None
            child.stdout.close()
            errors = child.stderr.read()
            child.stderr.close()
            self.assertEqual((child.wait(), errors), (141, b""))


if __name__ == "__main__":
    unittest.main()
