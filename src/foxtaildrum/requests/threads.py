"""Pool of the threads that serve requests."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from waitress.task import ThreadedTaskDispatcher

from .early import EarlyResponse

if TYPE_CHECKING:
    from .pipelines import PipelinedChannel

INITIAL_THREADS = 4
THREAD_STEP = 2
MIN_GROW_INTERVAL_S = 0.01
MIN_SHRINK_INTERVAL_S = 2.0


class ThreadPool(ThreadedTaskDispatcher):
    """Thread pool that grows and shrinks with the number of requests in progress.

    A few busy threads cost less than many threads that switch often. The pool grows
    slowly, because a short-lived queue means that the CPU is busy, and more threads would
    only slow it down. While tasks wait it grows on, also if no further task arrives. Threads
    that stay idle are stopped.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads
        self._grown_at = float("-inf")
        self._shrunk_at = time.monotonic()
        # Held from counting threads to changing their number.
        self._adjusting = threading.Lock()
        self._backlog = threading.Event()
        self._watcher: threading.Thread | None = None
        self.set_thread_count(min(max_threads, INITIAL_THREADS))

    def add_task(self, task: PipelinedChannel) -> None:
        """Queue the first request of a connection."""
        with self._adjusting:
            self._queue(task)
            self._adjust(time.monotonic())

    def add_early(self, task: EarlyResponse) -> None:
        """Queue a request that runs ahead of its turn, with a thread for each that waits.

        Pipelined requests arrive in bursts. A pool that grows slowly would serve them one
        after the other. Their number is bounded.
        """
        with self._adjusting:
            self._queue(task)
            running, idle, waiting = self._count()
            if waiting > idle:
                self.set_thread_count(min(self._max_threads, running + waiting - idle))

    def _queue(self, task: PipelinedChannel | EarlyResponse) -> None:
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()

    def _count(self) -> tuple[int, int, int]:
        """Return the numbers of running and idle threads and of waiting tasks."""
        with self.lock:
            running = len(self.threads) - self.stop_count
            return running, running - self.active_count, len(self.queue)

    def _adjust(self, now: float) -> None:
        running, idle, waiting = self._count()
        if waiting > idle:
            if now - self._grown_at >= MIN_GROW_INTERVAL_S:
                self._grown_at = self._shrunk_at = now
                self.set_thread_count(min(self._max_threads, running + THREAD_STEP))
            if running < self._max_threads:
                self._watch_backlog()
        elif now - self._shrunk_at >= MIN_SHRINK_INTERVAL_S:
            self._shrunk_at = now
            self.set_thread_count(
                max(min(self._max_threads, INITIAL_THREADS), running - idle // 2)
            )

    def _watch_backlog(self) -> None:
        if self._watcher is None:
            self._watcher = threading.Thread(
                target=self._relieve_backlog, name="backlog", daemon=True
            )
            self._watcher.start()
        self._backlog.set()

    def _relieve_backlog(self) -> None:
        """Add threads while tasks wait and none arrives that would have them added."""
        while self._backlog.wait():
            self._backlog.clear()
            time.sleep(MIN_GROW_INTERVAL_S)
            with self._adjusting:
                self._adjust(time.monotonic())
