"""Entry point of ``python -m foxtaildrum``."""

import sys

from .launch import main

sys.exit(main())
