#!/usr/bin/env bash
# Starts the built program, waits until it is ready, applies a table and stops it.
set -euo pipefail
program="$1"
data="$(mktemp -d)"
trap 'rm -rf "$data"' EXIT
export SHIV_ROOT="$data/shiv"
"$program" --version
"$program" check examples/routes.toml examples/pools.toml
"$program" serve --data-dir "$data/state" --listen 127.0.0.1:18080 \
  --admin-listen 127.0.0.1:18081 --unready-s 0 &
pid=$!
ready=no
for _ in $(seq 1 100); do
  if "$program" status --admin 127.0.0.1:18081 2>/dev/null | grep -q ': ready'; then
    ready=yes
    break
  fi
  sleep 0.2
done
"$program" pools apply examples/pools.toml --admin 127.0.0.1:18081
kill -TERM "$pid"
wait "$pid"
[ "$ready" = yes ]
echo "smoke: the built program became ready, accepted a table and stopped cleanly"
