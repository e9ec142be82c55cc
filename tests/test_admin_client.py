"""Answers to operators' commands that no instance gives."""

from __future__ import annotations

import pytest

from foxtaildrum.cli import main
from foxtaildrum.exits import EXIT_FAILED

from .standins.scripted import Script, ScriptedUpstream

HEAD = b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n"
COMMANDS = [
    ("status",),
    ("zones", "list"),
    ("routes", "get"),
    ("tables", "get"),
    ("report",),
    ("organisations", "list"),
]
ANSWERS = [
    (b"200 OK", b"", b"[]"),
    (b"200 OK", b"", b"{}"),
    (b"200 OK", b"", b'"text"'),
    (b"200 OK", b"", b"null"),
    (b"200 OK", b"", b"<html>"),
    (b"404 Not Found", b"", b"[]"),
    (b"500 Odd", b"", b"3"),
    (b"999 Odd", b"", b'{"routes": []}'),
    (b"200 OK", b'ETag: "1"\r\n', b'{"routes": 3, "zones": null}'),
]


# Guards against a traceback when an operator names the address of another program.
@pytest.mark.parametrize("command", COMMANDS, ids=" ".join)
@pytest.mark.parametrize(("status", "headers", "body"), ANSWERS)
def test_an_answer_of_another_program_is_an_error(capsys, command, status, headers, body):
    answer = HEAD % (status, headers, len(body)) + body
    server = ScriptedUpstream(lambda arrival: Script(answer, end="fin"))
    try:
        assert main([*command, "--admin", server.address]) == EXIT_FAILED
    finally:
        server.close()
    output = capsys.readouterr()
    told = output.err + output.out
    assert "the response" in told or status.decode()[:3] in told


# Guards against a version that is read as int() reads one, or a missing one.
@pytest.mark.parametrize(
    "headers", [b"", b'ETag: "x"\r\n', b'ETag: "1_0"\r\n', b"ETag: +1\r\n"]
)
def test_a_table_without_a_version_is_an_error(capsys, headers):
    body = b'{"routes": []}'
    answer = HEAD % (b"200 OK", headers, len(body)) + body
    server = ScriptedUpstream(lambda arrival: Script(answer, end="fin"))
    try:
        assert main(["routes", "get", "--admin", server.address]) == EXIT_FAILED
    finally:
        server.close()
    assert "states no version" in capsys.readouterr().err
