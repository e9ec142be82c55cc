"""Load balancer for servers whose load shifts in milliseconds."""

from __future__ import annotations

__version__ = "0.2.0"

from .client import AdminClient
from .exceptions import FoxtaildrumError
from .kinds import ErrorKind, Outcome

__all__ = ["AdminClient", "ErrorKind", "FoxtaildrumError", "Outcome", "__version__"]
