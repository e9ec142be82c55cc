"""A short soak for each listed seed; seeds that found a violation are added to the list."""

from __future__ import annotations

import pytest

from .soak.play import play

SHORT_S = 6.0


@pytest.mark.parametrize("seed", [1])
def test_no_promise_is_broken_under_faults(tmp_path, seed):
    result = play(tmp_path, seed, SHORT_S)
    assert not result.violations, result.format()
