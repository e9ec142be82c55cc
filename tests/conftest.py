"""Settings and fixtures shared by the tests."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.register_profile(
    "fuzz", parent=settings.get_profile("ci"), derandomize=False, max_examples=5000
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
