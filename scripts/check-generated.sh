#!/usr/bin/env bash
# Fails when a committed generated file differs from what schema.json generates.
set -euo pipefail
cd "$(dirname "$0")/.."
fresh="$(mktemp -d)"
trap 'rm -rf "$fresh"' EXIT
scripts/generate.sh "$fresh/records.py" "$fresh/checks.py" "$fresh/logevents.py"
diff -u src/foxtaildrum/records.py "$fresh/records.py"
diff -u src/foxtaildrum/checks.py "$fresh/checks.py"
diff -u src/foxtaildrum/logevents.py "$fresh/logevents.py"
