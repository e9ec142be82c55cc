#!/usr/bin/env bash
# Installs everything for development into a virtual environment, unless what it was made from
# and for is the same: lock file, project file, interpreter, and the folder that it stands in.
# Usage: build-venv.sh PYTHON FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
python="$1"
venv="$2"
record="$venv/ready"
wanted="$(
  sha256sum requirements.lock pyproject.toml
  "$python" -c 'import importlib.machinery, sys
print(sys.version_info[:3], importlib.machinery.EXTENSION_SUFFIXES[0])'
  pwd
)"
mkdir -p "$(dirname "$venv")"
exec 9>"$venv.lock"
flock 9
if [ "$(cat "$record" 2>/dev/null)" = "$wanted" ]; then
  exit 0
fi
rm -rf "$venv"
"$python" -m venv "$venv"
"$venv/bin/pip" install --quiet --requirement requirements.lock
"$venv/bin/pip" install --quiet --no-deps --no-build-isolation --editable .
printf '%s\n' "$wanted" >"$record.new"
mv "$record.new" "$record"
