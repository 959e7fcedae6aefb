#!/usr/bin/env bash
# Runs every test and prints "N passed, N failed" alone on the last line.
set -euo pipefail
cd "$(dirname "$0")/.."
exec .venv/bin/python -m tests "$@"
