"""Full endpoints refuse orders, and send some of their answers a second time, late."""

from __future__ import annotations

import random
import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.desired import HOST, PATH, SERVICE, build_order_state  # noqa: E402
from common.endpoints import Endpoint, Request  # noqa: E402
from common.requesters import Requester  # noqa: E402
from common.site import CaseError, Operator, Record, Site, run_case  # noqa: E402

ENDPOINTS = 1
SLOTS = 4
QUEUE = 1
WORK_S = 0.02
# Share of its answers that a faulty endpoint sends a second time, and for how long at a time.
EXTRA_SHARE = 0.03
FAULTY_S = 5.0
PAUSE_S = 1.0
PERIODS = 8
REQUESTERS = 12
THINK_S = 0.02


class FullEndpoint(Endpoint):
    """Runs ``slots`` requests at once and queues a few more; refuses those beyond, as not run.

    While ``faulty`` is set, some of its answers are followed by a second copy, which arrives
    late, where the next response on the connection is expected.
    """

    slots = SLOTS
    faulty = False
    extras = 0
    sheds = 0

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.rng = random.Random(1)
        self.work = threading.Semaphore(SLOTS)
        self.taken = 0
        self.late_copies: dict[int, bytes] = {}

    def load(self) -> str:
        running = min(self.taken, SLOTS)
        return f"{running},{self.taken - running},{SLOTS},100"

    def read_request(self, sock, file) -> Request | None:
        request = super().read_request(sock, file)
        copy = self.late_copies.pop(sock.fileno(), None)
        if request is not None and copy is not None:
            sock.sendall(copy)
        return request

    def serve(self, sock, request: Request) -> None:
        with self.lock:
            full = self.taken >= SLOTS + QUEUE
            self.taken += not full
        if full:
            self.sheds += 1
            answer = self.build_shed(request)
        else:
            with self.work:
                self.run(request)
            with self.lock:
                self.taken -= 1
            answer = self.build_answer(request)
        if self.faulty and self.rng.random() < EXTRA_SHARE:
            self.extras += 1
            self.late_copies[sock.fileno()] = answer
        sock.sendall(answer)


def send_orders(
    site: Site, number: int, stop_at: float, answers: dict[str, tuple[int, str]]
) -> None:
    requester = Requester(site.front(number % len(site.entries)), HOST)
    while time.monotonic() < stop_at:
        request_id, answer = requester.send("POST", f"{PATH}{number}", b"order", 1000)
        answers[request_id] = (answer.status, answer.detail)
        if not answer.ok:
            requester.close()
        time.sleep(THINK_S)


def judge(
    record: Record,
    endpoints: list[FullEndpoint],
    answers: dict[str, tuple[int, str]],
    started_at: float,
) -> bool:
    """Return whether an order ran twice, or ran although it was refused."""
    runs: Counter[str] = Counter()
    places: dict[str, list[str]] = {}
    for endpoint in endpoints:
        for at, request in endpoint.runs:
            runs[request.request_id] += 1
            places.setdefault(request.request_id, []).append(
                f"{endpoint.upstream_id} at {at - started_at:.3f} s"
            )
    statuses = Counter(status for status, _ in answers.values())
    record.write(f"orders sent {len(answers)}, answers by status {dict(statuses)}")
    record.write(
        f"runs {sum(runs.values())}, refusals {sum(e.sheds for e in endpoints)}, "
        f"second copies {sum(e.extras for e in endpoints)}"
    )
    twice = [i for i, count in runs.items() if count > 1]
    refused = [i for i, (status, _) in answers.items() if status in (429, 503) and runs[i]]
    for request_id in twice:
        record.write(
            f"TWICE: order {request_id} ran {runs[request_id]} times ({places[request_id]}), "
            f"the requester got {answers.get(request_id)}"
        )
    for request_id in refused:
        record.write(
            f"REFUSED: order {request_id} was answered {answers[request_id][0]} "
            f"and ran ({places[request_id]})"
        )
    record.write(f"ran more than once: {len(twice)}; refused, but ran: {len(refused)}")
    return bool(twice or refused)


def main(site: Site, record: Record, trouble: bool) -> bool:
    site.start_all(bootstrap=True)
    if not site.wait_ready(site.instances):
        raise CaseError("the site did not become ready")
    if not Operator(site).put(build_order_state(1)):
        raise CaseError("the first desired state was not acknowledged")
    endpoints = [
        FullEndpoint(site, SERVICE, f"127.65.{n + 1}.1", WORK_S) for n in range(ENDPOINTS)
    ]
    for endpoint in endpoints:
        endpoint.start_announcing()
    time.sleep(2.0)
    answers: dict[str, tuple[int, str]] = {}
    started_at = time.monotonic()
    stop_at = started_at + PERIODS * (FAULTY_S + PAUSE_S)
    threads = [
        threading.Thread(target=send_orders, args=(site, n, stop_at, answers))
        for n in range(REQUESTERS)
    ]
    for thread in threads:
        thread.start()
    for _ in range(PERIODS):
        for endpoint in endpoints:
            endpoint.faulty = trouble
        time.sleep(FAULTY_S)
        for endpoint in endpoints:
            endpoint.faulty = False
        time.sleep(PAUSE_S)
    for thread in threads:
        thread.join()
    time.sleep(1.0)
    for endpoint in endpoints:
        endpoint.close()
    return judge(record, endpoints, answers, started_at)


if __name__ == "__main__":
    run_case(main, FOLDER, 45)
