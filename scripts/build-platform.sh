#!/usr/bin/env bash
# Builds the program under target/: its libraries, and a copy of its code with bytecode.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/build_platform.py
