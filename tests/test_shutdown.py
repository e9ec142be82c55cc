"""Graceful shutdown, reload and restart of an instance process."""

from __future__ import annotations

import http.client
import signal
import subprocess
import sys
import threading

import urllib3

from .standins.processes import InstanceProcess, UpstreamProcess, wait_until

REQUEST_COUNT = 6
SIGNAL_COUNT = 3000
SENDER_COUNT = 3
SERIES_COUNT = 100_000


def start_site(folder, **settings):
    instance = InstanceProcess(folder, "one", shutdown_grace_s="8", **settings)
    instance.wait_ready()
    instance.client.put_table("pools", [{"name": "p"}], 0, "p")
    instance.client.put_table("routes", [{"name": "r", "pool": "p"}], 0, "r")
    upstreams = UpstreamProcess(folder, "p", 2, [instance.admin_listen])
    assert wait_until(lambda: len(instance.status().get("upstreams", [])) == 2)
    return instance, upstreams


def test_requests_in_flight_complete_and_the_exit_status_is_0(tmp_path):
    instance, upstreams = start_site(tmp_path)
    statuses = []

    def call() -> None:
        caller = urllib3.PoolManager(retries=False, timeout=10)
        url = f"http://{instance.listen}/x"
        statuses.append(caller.request("GET", url, headers={"X-Fault": "slow=800"}).status)

    threads = [threading.Thread(target=call) for _ in range(REQUEST_COUNT)]
    for thread in threads:
        thread.start()
    assert wait_until(
        lambda: sum(upstreams.describe(u)["busy"] for u in upstreams.ports) == REQUEST_COUNT
    )
    instance.popen.send_signal(signal.SIGTERM)
    assert wait_until(lambda: not instance.client.is_ready())
    for thread in threads:
        thread.join()
    assert statuses == [200] * REQUEST_COUNT
    assert instance.popen.wait(20) == 0
    upstreams.stop()


def test_signals_in_series_hang_the_main_thread(tmp_path):
    """A handler that interrupts another one must not wait for what that one holds."""
    instance = InstanceProcess(tmp_path, "one", shutdown_grace_s="1")
    instance.wait_ready()
    for _ in range(SIGNAL_COUNT):
        instance.popen.send_signal(signal.SIGHUP)
    instance.popen.send_signal(signal.SIGTERM)
    assert instance.popen.wait(20) == 0


# Guards against handlers that interrupt each other until the recursion limit ends the main
# thread, while the process goes on and can't be stopped.
def test_signals_of_several_senders_end_the_main_thread_alone(tmp_path):
    instance = InstanceProcess(tmp_path, "one", shutdown_grace_s="1")
    instance.wait_ready()
    sender = f"import os\nfor _ in range({SERIES_COUNT}): os.kill({instance.popen.pid}, 1)"
    senders = [subprocess.Popen([sys.executable, "-c", sender]) for _ in range(SENDER_COUNT)]
    try:
        assert [process.wait(60) for process in senders] == [0] * SENDER_COUNT
        instance.popen.send_signal(signal.SIGTERM)
        assert instance.popen.wait(20) == 0
    finally:
        instance.kill()


def test_a_second_signal_exits_at_once(tmp_path):
    instance, upstreams = start_site(tmp_path)
    thread = threading.Thread(target=_call_and_ignore_errors, args=(instance.listen,))
    thread.start()
    assert wait_until(lambda: sum(upstreams.describe(u)["busy"] for u in upstreams.ports) == 1)
    instance.popen.send_signal(signal.SIGTERM)
    assert wait_until(lambda: not instance.client.is_ready())
    instance.popen.send_signal(signal.SIGTERM)
    assert instance.popen.wait(5) == 1
    thread.join()
    upstreams.stop()


def test_a_killed_instance_restarts_with_its_tables_and_claims(tmp_path):
    instance, upstreams = start_site(tmp_path)
    caller = urllib3.PoolManager(retries=False, timeout=10)
    headers = {"Idempotency-Key": "order-1"}
    first = caller.request("POST", f"http://{instance.listen}/o", body=b"x", headers=headers)
    instance.kill()
    restarted = InstanceProcess(tmp_path, "one", admin_listen=instance.admin_listen)
    restarted.wait_ready()
    assert restarted.client.get_table("routes")[1] == 1
    assert wait_until(lambda: len(restarted.status().get("upstreams", [])) == 2)
    second = caller.request("POST", f"http://{restarted.listen}/o", body=b"x", headers=headers)
    assert (second.status, second.data) == (first.status, first.data)
    assert upstreams.count_runs()["order-1"] == 1
    restarted.stop()
    upstreams.stop()


def send_request(connection: http.client.HTTPConnection) -> http.client.HTTPResponse:
    connection.request("GET", "/x")
    response = connection.getresponse()
    response.read()
    return response


def test_a_request_on_a_persistent_connection_is_served_during_shutdown(tmp_path):
    instance, upstreams = start_site(tmp_path, unready_s="2")
    host, port = instance.listen.split(":")
    connections = [http.client.HTTPConnection(host, int(port), timeout=10) for _ in range(3)]
    for connection in connections:
        assert send_request(connection).getheader("Connection") is None
    instance.popen.send_signal(signal.SIGTERM)
    assert wait_until(lambda: not instance.client.is_ready())
    for connection in connections[:2]:
        response = send_request(connection)
        assert (response.status, response.getheader("Connection")) == (200, "close")
    # The third connection stays idle and is closed, so the process does not wait for it.
    assert instance.popen.wait(20) == 0
    assert connections[2].sock.recv(1) == b""
    upstreams.stop()


def test_sighup_reloads_the_settings_without_stopping(tmp_path):
    instance, upstreams = start_site(tmp_path)
    instance.popen.send_signal(signal.SIGHUP)
    assert wait_until(lambda: "settings_reloaded" in instance.log.read_text())
    assert instance.client.is_ready()
    assert instance.stop() == 0
    upstreams.stop()


def _call_and_ignore_errors(listen: str) -> None:
    try:
        urllib3.PoolManager(retries=False, timeout=10).request(
            "GET", f"http://{listen}/x", headers={"X-Fault": "slow=3000"}
        )
    except urllib3.exceptions.HTTPError:
        return
