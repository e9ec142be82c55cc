"""The pool of threads that serve requests."""

from __future__ import annotations

import threading

from foxtaildrum.requests.threads import THREAD_STEP, ThreadPool

from .sites import open_site
from .standins.processes import wait_until

MAX_THREADS = 32
TASKS = 20
SLOW_MS = 1500
WAIT_S = 10.0


class Task:
    """Request that takes until it is told to end."""

    def __init__(self, started: threading.Semaphore, end: threading.Event) -> None:
        self._started = started
        self._end = end

    def service(self) -> None:
        self._started.release()
        self._end.wait(WAIT_S)

    def cancel(self) -> None:
        """Called for a task that is still queued when the pool ends."""


def start_tasks(pool: ThreadPool, count: int) -> tuple[threading.Semaphore, threading.Event]:
    started, end = threading.Semaphore(0), threading.Event()
    for _ in range(count):
        pool.add_task(Task(started, end))
    return started, end


# Guards against requests that wait for a thread although there may be more, because the pool
# grows with the next request only.
def test_a_burst_of_long_requests_gets_threads_without_further_requests():
    pool = ThreadPool(MAX_THREADS)
    started, end = start_tasks(pool, TASKS)
    try:
        assert all(started.acquire(timeout=WAIT_S / TASKS) for _ in range(TASKS))
        assert len(pool.threads) <= TASKS + THREAD_STEP
    finally:
        end.set()
        pool.shutdown(timeout=1)


def test_no_more_threads_run_than_the_limit():
    pool = ThreadPool(MAX_THREADS)
    started, end = start_tasks(pool, 2 * MAX_THREADS)
    try:
        assert all(started.acquire(timeout=WAIT_S / MAX_THREADS) for _ in range(MAX_THREADS))
        assert not started.acquire(timeout=0.2)
        assert len(pool.threads) == MAX_THREADS
    finally:
        end.set()
        pool.shutdown(timeout=1)


# Guards against a refusal of requests that arrive together, while there are threads and slots.
def test_requests_that_arrive_together_are_all_served(tmp_path):
    with open_site(tmp_path, threads=2 * MAX_THREADS) as site:
        site.apply("pools", [{"name": "p"}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        process = site.add_upstreams("p", TASKS, service_ms=SLOW_MS, fixed=True)
        assert wait_until(lambda: len(site.client.get_status()["upstreams"]) == TASKS)
        statuses: list[int] = []
        gate = threading.Barrier(TASKS)

        def call() -> None:
            gate.wait()
            statuses.append(site.send("GET", "/x").status)

        callers = [threading.Thread(target=call) for _ in range(TASKS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        assert statuses == [200] * TASKS
        assert sum(process.count_runs().values()) >= TASKS
