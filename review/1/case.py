"""Full endpoints refuse orders and status checks, and send some answers a second time, late."""

from __future__ import annotations

import random
import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.desired import HOST, LIMITS, build_pool, build_route  # noqa: E402
from common.endpoints import Endpoint, Request  # noqa: E402
from common.requesters import Requester  # noqa: E402
from common.site import CaseError, Operator, Record, Site, run_case  # noqa: E402

SLOTS = 4
QUEUE = 1
WORK_S = 0.02
# Share of its answers that a faulty endpoint sends a second time, and for how long at a time.
EXTRA_SHARE = 0.03
FAULTY_S = 5.0
PAUSE_S = 1.0
PERIODS = 14
THINK_S = 0.02


class Service:
    """A service, its endpoints, and the requesters that send it orders."""

    def __init__(self, name: str, path: str, count: int, requesters: int, tells_load: bool):
        self.name = name
        self.path = path
        self.count = count
        self.requesters = requesters
        self.tells_load = tells_load
        self.endpoints: list[FullEndpoint] = []
        self.answers: dict[str, tuple[int, str]] = {}


class FullEndpoint(Endpoint):
    """Runs ``slots`` requests at once and queues one more; refuses those beyond, as not run.

    An endpoint that doesn't tell its load treats a status check like any other request. While
    ``faulty`` is set, some of its answers are followed by a second copy, which arrives late,
    where the next response on the connection is expected.
    """

    slots = SLOTS
    faulty = False
    tells_load = True

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.rng = random.Random(self.address)
        self.work = threading.Semaphore(SLOTS)
        self.taken = 0
        self.copies = 0
        self.refusals = 0
        self.late_copies: dict[socket.socket, bytes] = {}

    @property
    def is_full(self) -> bool:
        return self.taken >= SLOTS + QUEUE

    def load(self) -> str:
        running = min(self.taken, SLOTS)
        return f"{running},{self.taken - running},{SLOTS},100"

    def read_request(self, sock, file) -> Request | None:
        request = super().read_request(sock, file)
        copy = self.late_copies.pop(sock, None)
        if request is not None and copy is not None:
            sock.sendall(copy)
        return request

    def answer_health(self, sock) -> None:
        if self.is_full and not self.tells_load:
            self.answer(sock, self.build_shed(None))
        else:
            self.answer(sock, self.build_health())

    def serve(self, sock, request: Request) -> None:
        with self.lock:
            full = self.is_full
            self.taken += not full
        if full:
            self.refusals += 1
            self.answer(sock, self.build_shed(request))
            return
        with self.work:
            self.run(request)
        with self.lock:
            self.taken -= 1
        self.answer(sock, self.build_answer(request))

    def answer(self, sock, data: bytes) -> None:
        if self.faulty and self.rng.random() < EXTRA_SHARE:
            self.copies += 1
            self.late_copies[sock] = data
        sock.sendall(data)


def send_orders(site: Site, service: Service, number: int, stopped: threading.Event) -> None:
    """Send one order after the other, each with an identifier of its own."""
    requester = Requester(site.front(number % len(site.entries)), HOST)
    while not stopped.wait(THINK_S):
        request_id, answer = requester.send("POST", f"{service.path}{number}", b"order", 1000)
        service.answers[request_id] = (answer.status, answer.detail)
        if not answer.ok:
            requester.close()


def judge(record: Record, service: Service, started_at: float) -> bool:
    """Return whether an order ran more than once, or ran although it was refused."""
    places: dict[str, list[str]] = {}
    for endpoint in service.endpoints:
        for at, request in endpoint.runs:
            place = f"{endpoint.upstream_id} at {at - started_at:.3f} s"
            places.setdefault(request.request_id, []).append(place)
    answers = service.answers
    statuses = Counter(status for status, _ in answers.values())
    refusals = sum(e.refusals for e in service.endpoints)
    copies = sum(e.copies for e in service.endpoints)
    record.write(
        f"{service.name} ({service.count} endpoints): {len(answers)} orders sent, answers by "
        f"status {dict(statuses)}, runs {sum(map(len, places.values()))}, orders refused by "
        f"endpoints {refusals}, second copies {copies}"
    )
    twice = [i for i, found in places.items() if len(found) > 1]
    refused = [i for i, (s, _) in answers.items() if s in (408, 421, 429, 503) and i in places]
    for request_id in twice:
        answer = answers.get(request_id)
        record.write(f"TWICE: order {request_id} ran: {places[request_id]}; answer: {answer}")
    for request_id in refused:
        status = answers[request_id][0]
        record.write(f"REFUSED: order {request_id} got {status} and ran: {places[request_id]}")
    record.write(
        f"{service.name}: ran more than once: {len(twice)}; refused, but ran: {len(refused)}"
    )
    return bool(twice or refused)


def start_services(site: Site) -> list[Service]:
    services = [
        Service("wuno96b", "/xapu221/ny95/", 1, 12, tells_load=True),
        Service("kafi81c", "/fiti832/ti23/", 6, 48, tells_load=False),
    ]
    desired = {
        "version": 1,
        "routes": [build_route(s.name, s.path, 1000) for s in services],
        "pools": [build_pool(s.name) for s in services],
        "limits": LIMITS,
    }
    if not Operator(site).put(desired):
        raise CaseError("the first desired state was not acknowledged")
    for number, service in enumerate(services):
        for n in range(service.count):
            address = f"127.{65 + number}.{n + 1}.1"
            endpoint = FullEndpoint(site, service.name, address, WORK_S)
            endpoint.tells_load = service.tells_load
            endpoint.start_announcing()
            service.endpoints.append(endpoint)
    time.sleep(2.0)
    return services


def main(site: Site, record: Record, trouble: bool) -> bool:
    site.start_all(bootstrap=True)
    if not site.wait_ready(site.instances):
        raise CaseError("the site did not become ready")
    services = start_services(site)
    endpoints = [endpoint for service in services for endpoint in service.endpoints]
    stopped = threading.Event()
    threads = [
        threading.Thread(target=send_orders, args=(site, service, n, stopped))
        for service in services
        for n in range(service.requesters)
    ]
    started_at = time.monotonic()
    for thread in threads:
        thread.start()
    for faulty, duration_s in [(trouble, FAULTY_S), (False, PAUSE_S)] * PERIODS:
        for endpoint in endpoints:
            endpoint.faulty = faulty
        time.sleep(duration_s)
    stopped.set()
    for thread in threads:
        thread.join()
    time.sleep(1.0)
    for endpoint in endpoints:
        endpoint.close()
    return any([judge(record, service, started_at) for service in services])


if __name__ == "__main__":
    run_case(main, FOLDER, 45)
