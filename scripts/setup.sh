#!/usr/bin/env bash
# Makes the virtual environment of the workspace with every dependency pinned.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=".venv/.installed"
want="$(cat requirements.txt packages/*/pyproject.toml platform/pyproject.toml | sha256sum)"
if [ ! -x .venv/bin/python ]; then
    python3 -m venv .venv
fi
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$want" ]; then
    .venv/bin/python -m pip install --quiet setuptools -r requirements.txt
    for package in packages/cactussaddle-{core,common,node,cli} platform; do
        .venv/bin/python -m pip install --quiet --no-deps --no-build-isolation --editable "$package"
    done
    printf '%s' "$want" > "$stamp"
fi
