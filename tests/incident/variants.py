"""Variants of a run: which faults it has, in the order in which they were added."""

from __future__ import annotations

from .faults import FAULTS
from .play import Options

KILLS_OF_ALL = [name for name in FAULTS if name.startswith("kill every")]
RESTARTS = [name for name in FAULTS if name.startswith(("stop", "restart"))]

VARIANTS: dict[str, dict[str, object]] = {
    "plain": {},
    "copies": {"copies": 0.01},
    "leaves": {"releases": 0.8},
    "leaves-kills": {
        "releases": 0.8,
        "faults": [*KILLS_OF_ALL, "kill the control group"],
        "after_acknowledgement": True,
    },
    "power": {
        "releases": 4.0,
        "faults": ["kill every instance"],
        "overlaps": False,
        "after_acknowledgement": True,
    },
    "owners": {
        "releases": 0.6,
        "linger": True,
        "faults": [name for name in FAULTS if "and then" in name],
        "overlaps": False,
    },
    "owner": {
        "releases": 0.6,
        "linger": True,
        "faults": ["kill the control instance that takes a leave"],
        "overlaps": False,
    },
    "restarts": {"releases": 1.2, "faults": [*RESTARTS, "kill some entry instances"]},
    "tables": {
        "states": 0.6,
        "faults": [*RESTARTS, "kill some entry instances", *KILLS_OF_ALL],
        "after_acknowledgement": True,
    },
    "freezes": {
        "releases": 0.8,
        "states": 1.5,
        "faults": [name for name in FAULTS if name.startswith(("freeze", "kill two"))],
    },
    "cuts": {"cuts": 0.01},
    "heads": {
        "cuts": 0.1,
        "cut_names": [
            "cut in the status line",
            "cut in the head",
            "cut after a line of the head",
        ],
    },
    "unproved": {"cuts": 0.05, "cut_names": ["refusal without proof"]},
    "early": {"early": 0.6, "copies": 0.003},
    "fractions": {"fractional": True, "cuts": 0.1, "cut_names": ["lost"]},
    # Upstreams are full, and many refusals are written twice; status checks bear no identifier.
    "refusals": {"copies": 0.02, "per_entry": 9},
    # Beyond the pages, which say that upstreams echo the identifier.
    "refusals-without-echo": {"copies": 0.02, "per_entry": 9, "echoes": "answers"},
    "without-echo": {"copies": 0.02, "echoes": "never"},
    "holds": {
        "copies": 0.02,
        "early": 0.5,
        "releases": 0.5,
        "states": 1.0,
        "faults": ["restart entry instances one by one"],
        "overlaps": False,
    },
    "lost-disks": {
        "states": 0.8,
        "releases": 2.0,
        "faults": [name for name in FAULTS if name.startswith("lose all power")],
        "overlaps": False,
        "after_acknowledgement": True,
        "kill_delays_s": [0.0, 0.0, 0.02, 0.1],
    },
    "seeds": {
        "states": 0.6,
        "faults": ["exchange the seeds", *RESTARTS, "kill some entry instances"],
        "overlaps": False,
    },
    "races": {
        "states": 0.2,
        "operators": 2,
        "faults": [*RESTARTS, *KILLS_OF_ALL, "kill some entry instances"],
        "after_acknowledgement": True,
    },
    "cut-off": {
        "states": 0.4,
        "operators": 2,
        "faults": [
            "freeze the control group",
            "freeze half of the entry instances, long",
            "kill a majority of the control instances",
            "kill some entry instances",
        ],
    },
    "manners": {"unusual_per_entry": 4},
    "manners-stops": {
        "unusual_per_entry": 4,
        "states": 1.0,
        "faults": ["stop an entry instance", "restart entry instances one by one"],
    },
    "denied": {
        "unusual_per_entry": 3,
        "states": 0.5,
        "operators": 2,
        "releases": 1.5,
        "faults": [
            *(name for name in FAULTS if name.startswith("lose all power")),
            "exchange the seeds",
            *RESTARTS,
            "freeze the control group",
        ],
        "overlaps": False,
        "after_acknowledgement": True,
    },
    "all": {
        "copies": 0.004,
        "cuts": 0.002,
        "early": 0.3,
        "releases": 0.8,
        "states": 1.0,
        "faults": list(FAULTS),
        "after_acknowledgement": True,
        "fractional": True,
    },
}


def build_options(variant: str, **options: object) -> Options:
    return Options(**(VARIANTS[variant] | options))
