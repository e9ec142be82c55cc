"""Checks that an instance can have the addresses and the data folder that it is set up with."""

from __future__ import annotations

import os
import socket

from .control.journal import FolderDisk
from .exceptions import FieldError, UnavailableResourcesError
from .records import Settings
from .requests.listeners import open_listener
from .settings import format_flag, parse_address


def check_resources(settings: Settings, has_listener: bool) -> None:
    """Check every address that the instance listens on, its data folder and its statsd host.

    Parameters
    ----------
    has_listener : bool
        Whether a socket already listens on the callers' address.

    Raises
    ------
    UnavailableResourcesError
        Lists everything that is not available, each with its setting and value.
    """
    names = ["admin_listen", "peer_listen", "forward_listen", "metrics_listen"]
    if settings.role != "control" and not has_listener:
        names.insert(0, "listen")
    problems = [_check_listener(settings, name) for name in names if getattr(settings, name)]
    if settings.statsd:
        problems.append(_check_host(settings, "statsd"))
    found = [problem for problem in problems if problem is not None]
    if found:
        raise UnavailableResourcesError("the instance cannot start", found)


def open_data_folder(settings: Settings) -> FolderDisk:
    """Open the data folder, which no other instance may use meanwhile.

    Raises
    ------
    UnavailableResourcesError
        If the folder cannot be written or another instance uses it.
    """
    try:
        return FolderDisk(settings.data_dir)
    except OSError as error:
        problem = _describe(settings, "data_dir", error)
        raise UnavailableResourcesError("the instance cannot start", [problem]) from error


def _check_listener(settings: Settings, name: str) -> FieldError | None:
    try:
        open_listener(getattr(settings, name)).close()
    except (OSError, ValueError) as error:
        return _describe(settings, name, error)
    return None


def _check_host(settings: Settings, name: str) -> FieldError | None:
    try:
        host, port = parse_address(getattr(settings, name))
        socket.getaddrinfo(host, port, type=socket.SOCK_DGRAM)
    except (OSError, ValueError) as error:
        return _describe(settings, name, error)
    return None


def _describe(settings: Settings, name: str, error: Exception) -> FieldError:
    code = getattr(error, "errno", None)
    reason = str(error)
    if isinstance(error, OSError) and isinstance(code, int) and code > 0:
        reason = os.strerror(code)
    if isinstance(error, BlockingIOError):
        reason = "another instance uses this folder"
    return FieldError(f"{format_flag(name)} {getattr(settings, name)}", reason)
