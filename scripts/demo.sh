#!/usr/bin/env bash
# Sets up, starts a small cluster of separate processes, prints a real answer, stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
exec .venv/bin/python -m tests.harness.demo "$@"
