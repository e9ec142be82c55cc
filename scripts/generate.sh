#!/usr/bin/env bash
# Generates records.py, checks.py and logevents.py from src/foxtaildrum/schema.json.
set -euo pipefail
cd "$(dirname "$0")/.."
out="${1:-src/foxtaildrum/records.py}"
datamodel-codegen --input src/foxtaildrum/schema.json --input-file-type jsonschema \
  --output "$out" --output-model-type dataclasses.dataclass \
  --dataclass-arguments '{"slots": true, "kw_only": true}' \
  --use-schema-description --use-field-description --target-python-version 3.11 \
  --use-standard-collections --use-union-operator --strict-nullable --disable-timestamp \
  --enum-field-as-literal all --disable-warnings --formatters ruff-format \
  --custom-file-header '"""Records generated from schema.json; run scripts/generate.sh after a change."""'

checks="${2:-src/foxtaildrum/checks.py}"
python scripts/generate_checks.py src/foxtaildrum/schema.json "$checks"
ruff format --quiet "$checks"

events="${3:-src/foxtaildrum/logevents.py}"
python scripts/generate_events.py src/foxtaildrum/schema.json "$events"
ruff format --quiet "$events"
