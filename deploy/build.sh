#!/usr/bin/env bash
# Puts the pinned libraries and the present sources under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
want="$(sha256sum deploy/requirements.txt)"
stamp=target/deps.installed
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$want" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps -r deploy/requirements.txt
    printf '%s' "$want" > "$stamp"
fi
for sources in packages/cactussaddle-core packages/cactussaddle-common packages/cactussaddle-node platform; do
    for package in "$sources"/src/cactussaddle_*/; do
        rm -rf "target/deps/$(basename "$package")"
        cp -r "$package" target/deps/
    done
done
# Nothing can be written there later, so each start would compile the sources anew.
python3 -m compileall -q target/deps
