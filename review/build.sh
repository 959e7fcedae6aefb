#!/usr/bin/env bash
# Compiles the stand-ins of the cases; they need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common
for folder in [1-5]; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
