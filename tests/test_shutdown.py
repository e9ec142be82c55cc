"""Graceful stop of a real instance process."""

from __future__ import annotations

import http.client
import signal
import threading

import urllib3

from .standins.processes import InstanceProcess, UpstreamProcess, wait_until

REQUESTS = 6


def start_site(folder, **settings):
    instance = InstanceProcess(folder, "one", shutdown_grace_s="8", **settings)
    instance.wait_ready()
    instance.client.put_table("pools", [{"name": "p"}], 0, "p")
    instance.client.put_table("routes", [{"name": "r", "pool": "p"}], 0, "r")
    upstreams = UpstreamProcess(folder, "p", 2, [instance.admin_listen])
    assert wait_until(lambda: len(instance.status().get("upstreams", [])) == 2)
    return instance, upstreams


def test_no_request_in_flight_is_cut_off_and_the_exit_status_is_0(tmp_path):
    instance, upstreams = start_site(tmp_path)
    answers = []

    def call() -> None:
        caller = urllib3.PoolManager(retries=False, timeout=10)
        url = f"http://{instance.listen}/x"
        answers.append(caller.request("GET", url, headers={"X-Fault": "slow=800"}).status)

    threads = [threading.Thread(target=call) for _ in range(REQUESTS)]
    for thread in threads:
        thread.start()
    assert wait_until(
        lambda: sum(upstreams.describe(u)["busy"] for u in upstreams.ports) == REQUESTS
    )
    instance.popen.send_signal(signal.SIGTERM)
    assert wait_until(lambda: not instance.client.is_ready())
    for thread in threads:
        thread.join()
    assert answers == [200] * REQUESTS
    assert instance.popen.wait(20) == 0
    upstreams.stop()


def test_a_second_signal_exits_at_once(tmp_path):
    instance, upstreams = start_site(tmp_path)
    thread = threading.Thread(target=_call_quietly, args=(instance.listen,))
    thread.start()
    assert wait_until(lambda: sum(upstreams.describe(u)["busy"] for u in upstreams.ports) == 1)
    instance.popen.send_signal(signal.SIGTERM)
    assert wait_until(lambda: not instance.client.is_ready())
    instance.popen.send_signal(signal.SIGTERM)
    assert instance.popen.wait(5) == 1
    thread.join()
    upstreams.stop()


def test_a_killed_site_comes_back_with_its_tables_and_claims(tmp_path):
    instance, upstreams = start_site(tmp_path)
    caller = urllib3.PoolManager(retries=False, timeout=10)
    headers = {"Idempotency-Key": "order-1"}
    first = caller.request("POST", f"http://{instance.listen}/o", body=b"x", headers=headers)
    instance.kill()
    again = InstanceProcess(tmp_path, "one", admin_listen=instance.admin_listen)
    again.wait_ready()
    assert again.client.get_table("routes")[1] == 1
    assert wait_until(lambda: len(again.status().get("upstreams", [])) == 2)
    second = caller.request("POST", f"http://{again.listen}/o", body=b"x", headers=headers)
    assert (second.status, second.data) == (first.status, first.data)
    assert upstreams.count_runs()["order-1"] == 1
    again.stop()
    upstreams.stop()


def send_on(connection: http.client.HTTPConnection) -> http.client.HTTPResponse:
    connection.request("GET", "/x")
    answer = connection.getresponse()
    answer.read()
    return answer


def test_a_request_on_a_kept_connection_is_answered_during_a_stop(tmp_path):
    instance, upstreams = start_site(tmp_path, unready_s="2")
    host, port = instance.listen.split(":")
    kept = [http.client.HTTPConnection(host, int(port), timeout=10) for _ in range(3)]
    for connection in kept:
        assert send_on(connection).getheader("Connection") is None
    instance.popen.send_signal(signal.SIGTERM)
    assert wait_until(lambda: not instance.client.is_ready())
    for connection in kept[:2]:
        answer = send_on(connection)
        assert (answer.status, answer.getheader("Connection")) == (200, "close")
    # The third stays idle and is closed, so that the process need not wait for it.
    assert instance.popen.wait(20) == 0
    assert kept[2].sock.recv(1) == b""
    upstreams.stop()


def test_a_hangup_reads_the_settings_again_and_ends_nothing(tmp_path):
    instance, upstreams = start_site(tmp_path)
    instance.popen.send_signal(signal.SIGHUP)
    assert wait_until(lambda: "settings_reloaded" in instance.log.read_text())
    assert instance.client.is_ready()
    assert instance.stop() == 0
    upstreams.stop()


def _call_quietly(listen: str) -> None:
    try:
        urllib3.PoolManager(retries=False, timeout=10).request(
            "GET", f"http://{listen}/x", headers={"X-Fault": "slow=3000"}
        )
    except urllib3.exceptions.HTTPError:
        return
