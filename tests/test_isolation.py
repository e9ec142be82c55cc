"""Unexpected errors in background threads, which must go on."""

from __future__ import annotations

import threading

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.balancing import probes
from foxtaildrum.balancing.probes import Prober
from foxtaildrum.fleet.runtime import Ticker
from foxtaildrum.isolation import run_isolated
from foxtaildrum.requests.dialects import Dialect


class FailingOnce:
    """Callable that raises at its first call and sets ``called_again`` at the next."""

    def __init__(self, result=None) -> None:
        self.result = result
        self.calls = 0
        self.called_again = threading.Event()

    def __call__(self, *arguments):
        self.calls += 1
        if self.calls == 1:
            raise ZeroDivisionError("an unexpected error")
        self.called_again.set()
        return self.result


def test_an_error_is_counted_and_not_raised():
    meter = Meter()
    assert not run_isolated("part", meter, FailingOnce())
    assert run_isolated("part", meter, lambda: None)
    assert meter.describe_counters()["internal_errors"] == 1


def test_the_ticker_goes_on_after_an_error():
    send_tick = FailingOnce()
    ticker = Ticker(send_tick, lambda: 0.001, Meter())
    ticker.start()
    assert send_tick.called_again.wait(10.0)
    ticker.stop()


def test_the_prober_goes_on_after_an_error(monkeypatch):
    monkeypatch.setattr(probes, "IDLE_PERIOD_S", 0.001)
    list_pools = FailingOnce([])
    prober = Prober(list_pools, Meter(), Dialect())
    prober.start()
    assert list_pools.called_again.wait(10.0)
    prober.stop()
