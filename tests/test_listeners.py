"""Listening sockets that are opened before the instance starts."""

from __future__ import annotations

import http.client
import socket

import pytest

from foxtaildrum.admin.client import AdminClient
from foxtaildrum.instance import Instance
from foxtaildrum.records import Settings
from foxtaildrum.requests.listeners import open_listener

from .sites import open_site


def test_a_request_sent_before_the_start_is_served_after_it(tmp_path):
    with open_site(tmp_path) as site:
        site.apply("routes", [])
    listener = open_listener("127.0.0.1:0")
    host, port = listener.getsockname()
    connection = http.client.HTTPConnection(host, port, timeout=10)
    connection.request("GET", "/x")
    settings = Settings(
        listen=f"{host}:{port}",
        admin_listen="127.0.0.1:0",
        data_dir=str(tmp_path / "state"),
        access_log=False,
    )
    instance = Instance.from_settings(settings, listener)
    try:
        instance.start()
        response = connection.getresponse()
        # The routes were set to none, so 404 shows that the request was accepted and not
        # rejected with 503 because the instance was starting.
        assert response.status == 404
        assert AdminClient(instance.admin_server.address).is_ready()
    finally:
        instance.close()


def test_an_address_in_use_raises_an_error():
    with open_listener("127.0.0.1:0") as first_listener:
        host, port = first_listener.getsockname()
        with pytest.raises(OSError):
            open_listener(f"{host}:{port}")
        with socket.create_connection((host, port), timeout=5):
            pass
