"""A short soak for each listed seed; seeds that found a violation are added to the list."""

from __future__ import annotations

import pytest

from .soak.play import run_soak

DURATION_S = 6.0


@pytest.mark.parametrize("seed", [1])
def test_guarantees_hold_under_faults(tmp_path, seed):
    result = run_soak(tmp_path, seed, DURATION_S)
    assert not result.violations, result.format()
