"""When a copy of a slow request is considered."""

from __future__ import annotations

import pytest

from foxtaildrum.requests.hedging import plan_hedge


def test_without_a_delay_nothing_is_hedged():
    times = plan_hedge(None, 0.2, 0.7, can_check=True)
    assert (times.check_delay_s, times.send_delay_s) == (None, None)


def test_a_copy_is_sent_while_it_can_still_be_in_time():
    times = plan_hedge(0.52, 0.226, 0.695, can_check=False)
    assert times.check_delay_s is None
    assert times.send_delay_s + 0.226 <= 0.695


def test_a_delay_that_is_short_already_stays():
    assert plan_hedge(0.3, 0.2, 0.7, can_check=False).send_delay_s == 0.3


@pytest.mark.parametrize(
    ("expected_s", "objective_s"), [(0.226, 0.695), (0.6, 1.2), (0.65, 1.2), (0.0, 0.7)]
)
def test_the_upstream_is_asked_while_a_copy_can_still_be_in_time(expected_s, objective_s):
    times = plan_hedge(0.75 * objective_s, expected_s, objective_s, can_check=True)
    assert times.check_delay_s <= times.send_delay_s
    assert times.check_delay_s + expected_s <= objective_s


def test_the_upstream_is_not_asked_before_half_of_the_expected_duration():
    assert plan_hedge(0.9, 1.0, 1.2, can_check=True).check_delay_s == 0.5
