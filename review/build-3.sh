#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the nodes: stand-ins in Python, which need the
# standard library alone. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/11/world3
