"""Entry point of ``python -m foxtaildrum``."""

import sys

from .cli import main

sys.exit(main())
