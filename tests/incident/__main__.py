"""Plays incidents: ``python -m tests.incident --seeds 1-5 --duration-s 30 --variant all``."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from .play import Play
from .variants import VARIANTS, build_options


def main() -> int:
    parser = argparse.ArgumentParser(prog="tests.incident", description=__doc__)
    parser.add_argument("--seeds", default="1", help="a seed or a range such as 1-50")
    parser.add_argument("--variant", default="all", choices=sorted(VARIANTS))
    parser.add_argument("--duration-s", type=float, default=30.0)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--built", action="store_true", help="run target/deps with python3")
    parser.add_argument("--limit", type=int, default=8, help="violations shown per rule")
    parser.add_argument("--keep", type=Path, help="folder for the logs of broken runs")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    total: Counter[str] = Counter()
    for seed in range(int(first), int(last or first) + 1):
        options = build_options(
            arguments.variant,
            duration_s=arguments.duration_s,
            entries=arguments.entries,
            is_built=arguments.built,
        )
        with tempfile.TemporaryDirectory() as folder:
            play = Play(Path(folder), seed, options)
            result = asyncio.run(play.run())
            report = f"variant {arguments.variant}, " + result.format(
                play.site, arguments.limit
            )
            print(report, flush=True)
            if arguments.keep and (result.violations or result.trouble):
                target = arguments.keep / f"{arguments.variant}-{seed}"
                target.mkdir(parents=True, exist_ok=True)
                (target / "report.txt").write_text(report)
                lines = [f"{v.rule} {v.moment:.3f} {v.text}" for v in result.violations]
                (target / "violations.txt").write_text("\n".join(lines))
                play.site.keep(target)
        total += result.count() + Counter({"requests": result.requests})
    print(f"all seeds: {dict(total)}")
    return 1 if total.keys() - {"requests"} else 0


if __name__ == "__main__":
    sys.exit(main())
