"""Load balancer for servers whose load changes within milliseconds."""

from __future__ import annotations

import importlib
from typing import Any

__version__ = "0.2.0"

_SOURCES = {
    "AdminClient": ".admin.client",
    "ErrorKind": ".kinds",
    "FoxtaildrumError": ".exceptions",
    "Outcome": ".kinds",
}

__all__ = ["AdminClient", "ErrorKind", "FoxtaildrumError", "Outcome", "__version__"]


def __getattr__(name: str) -> Any:
    """Import a public name on first use, as the client's HTTP library is large."""
    source = _SOURCES.get(name)
    if source is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(source, __name__), name)
