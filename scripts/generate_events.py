"""Generates src/foxtaildrum/logevents.py from schema.json."""

import json
import sys

HEADER = '''"""Events that are logged, generated from schema.json with scripts/generate.sh."""

from __future__ import annotations

EVENTS: dict[str, tuple[str, ...]] = {
'''


def main(schema_path: str, out_path: str) -> None:
    """Write the log events of ``schema_path`` and their fields to ``out_path``."""
    with open(schema_path, encoding="utf-8") as file:
        events = json.load(file)["x-log-events"]
    lines = [f"    {name!r}: {tuple(fields)!r},\n" for name, fields in events.items()]
    with open(out_path, "w", encoding="utf-8") as file:
        file.write(HEADER + "".join(lines) + "}\n")


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
