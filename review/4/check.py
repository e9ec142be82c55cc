"""Judges the reports of the played day: ``python3 review/4/check.py [REPORT...]``.

Exit status 1: the rule was broken in a report; 0: in none.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

RULE = "CONFIG"


def is_broken(path: Path) -> bool:
    """Return whether the bench found the rule broken."""
    report = json.loads(path.read_text())
    return report["breaks"].get(RULE, 0) > 0


def main(paths: list[str]) -> int:
    """Judge the given reports, or those in this folder."""
    folder = Path(__file__).resolve().parent
    reports = [Path(p) for p in paths] or sorted(folder.glob("report*.json"))
    verdicts = {path.name: is_broken(path) for path in reports}
    for name, broken in verdicts.items():
        print(f"{name}: {RULE} {'broken' if broken else 'held'}")
    return 1 if any(verdicts.values()) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
