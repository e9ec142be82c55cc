"""Runs soak tests: ``python -m tests.soak --seeds 1-50 --duration-s 20``."""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

from .play import run_soak

BAR_WIDTH = 30


def main() -> int:
    parser = argparse.ArgumentParser(prog="tests.soak", description=__doc__)
    parser.add_argument("--seeds", default="1", help="a seed or a range such as 1-50")
    parser.add_argument("--duration-s", type=float, default=20.0)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    failed_seeds = []
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as folder:
            result = run_soak(Path(folder), seed, arguments.duration_s, _show_progress)
        print("\r" + " " * (BAR_WIDTH + 8) + "\r" + result.format(), flush=True)
        if result.violations:
            failed_seeds.append(seed)
    print(f"failed seeds: {failed_seeds or 'none'}")
    return 1 if failed_seeds else 0


def _show_progress(share: float) -> None:
    done = int(share * BAR_WIDTH)
    bar = "#" * done + "." * (BAR_WIDTH - done)
    print(f"\r[{bar}] {share:4.0%}", end="", file=sys.stderr, flush=True)


if __name__ == "__main__":
    sys.exit(main())
