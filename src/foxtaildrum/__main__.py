"""Runs the command line with ``python -m foxtaildrum``."""

import sys

from .cli import main

sys.exit(main())
