#!/usr/bin/env bash
# Installs the program and its runtime dependencies under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! -e "$deps/complete" ] || [ requirements.runtime.lock -nt "$deps/complete" ]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --target "$deps" --requirement requirements.runtime.lock
  touch "$deps/complete"
fi
rm -rf "$deps/foxtaildrum"
cp -r src/foxtaildrum "$deps/foxtaildrum"
python3 -m compileall -q "$deps"
