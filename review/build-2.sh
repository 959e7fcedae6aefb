#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: Python sources with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q 6 7 8 9 10
