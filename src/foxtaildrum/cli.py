"""Command line of foxtaildrum."""

from __future__ import annotations

import argparse
import dataclasses
import importlib
import logging
import os
import sys
from collections.abc import Sequence

from .builds import BUILD_COMMAND
from .commands import (
    build_parser,
    format_value,
    is_serving,
    print_error,
    register_command,
)
from .exceptions import (
    CorruptJournalError,
    FoxtaildrumError,
    InvalidFieldsError,
    InvalidSettingsError,
    StaleVersionError,
)
from .exits import EXIT_CONFLICT, EXIT_FAILED, EXIT_OK, EXIT_USAGE
from .instance import Instance
from .launch import Launch
from .logs import configure_logs, log_event
from .records import Settings
from .settings import find_source, format_flag, load_settings
from .signals import SignalRequests


def main(argv: Sequence[str] | None = None, launch: Launch | None = None) -> int:
    """Run the command line and return its exit status.

    Parameters
    ----------
    argv : list of str or None
        Arguments; None takes those of the process.
    launch : Launch or None
        What was set up before; None if nothing was.
    """
    argv = list(sys.argv[1:] if argv is None else argv)
    if not is_serving(argv):
        # An instance does not need the commands of operators, and starts faster without.
        importlib.import_module(".operations", __package__)
    arguments = build_parser(argv).parse_args(argv)
    arguments.argv = argv
    arguments.launch = launch or Launch(SignalRequests())
    try:
        return arguments.run(arguments)
    except InvalidSettingsError as error:
        for problem in error.exceptions:
            print_error(f"{format_flag(problem.field)}: {problem.reason}")
        return EXIT_USAGE
    except InvalidFieldsError as error:
        for problem in error.exceptions:
            print_error(str(problem))
        return EXIT_FAILED
    except StaleVersionError as error:
        print_error(f"not applied: {error}")
        return EXIT_CONFLICT
    except (FoxtaildrumError, OSError) as error:
        print_error(str(error))
        return EXIT_FAILED


@register_command("serve")
def run_serve(arguments: argparse.Namespace) -> int:
    """Run an instance until SIGTERM or SIGINT; a second signal exits at once."""
    settings = load_settings(vars(arguments), os.environ)
    configure_logs(settings.log_level, settings.log_format, settings.log_lines_per_s)
    launch = arguments.launch
    requests = launch.signals
    requests.install()
    if launch.build_problem:
        log_event(
            "build_outdated",
            level=logging.WARNING,
            reason=launch.build_problem,
            command=BUILD_COMMAND,
        )
    if requests.stop_requested:
        return EXIT_OK
    try:
        instance = Instance.from_settings(settings, launch.listener)
    except CorruptJournalError as error:
        print_error(
            f"{settings.data_dir}: {error}; see docs/OPERATIONS.md for replacing the disk"
        )
        return EXIT_FAILED
    instance.start()
    while not requests.stop_requested:
        requests.wait()
        if requests.take_reload():
            reload_settings(instance, arguments)
    return EXIT_OK if instance.stop() else EXIT_FAILED


@register_command("settings")
def run_settings(arguments: argparse.Namespace) -> int:
    """Print every setting with its value and its source."""
    flags = vars(arguments)
    settings = load_settings(flags, os.environ)
    for setting in dataclasses.fields(Settings):
        value = format_value(getattr(settings, setting.name))
        print(f"{setting.name} = {value}  # {find_source(setting.name, flags, os.environ)}")
    return EXIT_OK


def reload_settings(instance: Instance, arguments: argparse.Namespace) -> None:
    """Reload the settings of a running instance; invalid settings change nothing."""
    try:
        argv = (arguments.launch.read_arguments or (lambda: arguments.argv))()
        new_arguments = build_parser(argv).parse_args(argv)
        settings = load_settings(vars(new_arguments), os.environ)
    except (OSError, ValueError, LookupError, InvalidSettingsError) as error:
        log_event("settings_refused", level=logging.ERROR, reason=repr(error))
        return
    need_restart_names = instance.apply_settings(settings)
    log_event("settings_reloaded", need_restart=",".join(need_restart_names) or "-")


if __name__ == "__main__":
    sys.exit(main())
