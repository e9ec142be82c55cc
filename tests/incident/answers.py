"""Answers of stand-in upstreams, and their faults; each fault registers itself by decorator."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from .proofs import Proof

if TYPE_CHECKING:
    from .upstreams import Channel, Request

# Sends an answer in its way and returns whether the connection lives on.
AnswerFault = Callable[["Channel", bytes], Awaitable[bool]]

ANSWER_FAULTS: dict[str, AnswerFault] = {}
MAX_COPY_DELAY_S = 0.3
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request"}


def build_answer(
    status: int,
    headers: list[str],
    body: bytes,
    framing: str,
    rng: random.Random,
    upstream_id: str = "",
    request: Request | None = None,
) -> bytes:
    """Return an answer; with the proof if it is that of an upstream to a request."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}", *headers]
    if request is not None:
        proof = Proof.build(upstream_id, request.request_id, status, body)
        lines.append(f"X-Response-Signature: {proof.format()}")
    if framing == "sized":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        body = _chunk(body, rng)
    else:
        lines = [line for line in lines if not line.startswith("Connection:")]
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


def _chunk(body: bytes, rng: random.Random) -> bytes:
    size = rng.choice([100, 1000, 30_000])
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in [*parts, b""])


def register_answer_fault(name: str) -> Callable[[AnswerFault], AnswerFault]:
    def register(function: AnswerFault) -> AnswerFault:
        ANSWER_FAULTS[name] = function
        return function

    return register


@register_answer_fault("copy, late")
async def copy_late(channel: Channel, data: bytes) -> bool:
    await channel.send(data)
    channel.send_later(data, channel.rng.uniform(0.0, MAX_COPY_DELAY_S), 1)
    return True


@register_answer_fault("copy, at once")
async def copy_at_once(channel: Channel, data: bytes) -> bool:
    await channel.send(data + data)
    return True


@register_answer_fault("copy, in pieces")
async def copy_in_pieces(channel: Channel, data: bytes) -> bool:
    await channel.send(data)
    channel.send_later(data, channel.rng.uniform(0.0, MAX_COPY_DELAY_S), 3)
    return True


@register_answer_fault("copy, when the next request has come")
async def copy_at_next_request(channel: Channel, data: bytes) -> bool:
    await channel.send(data)
    channel.held_copy = data
    return True


async def _cut(channel: Channel, data: bytes, first: int, last: int) -> bool:
    position = channel.rng.randint(first, max(first, last))
    await channel.send(data[:position])
    if channel.rng.random() < 0.5:
        return await channel.finish()
    return channel.reset()


@register_answer_fault("cut in the status line")
async def cut_status_line(channel: Channel, data: bytes) -> bool:
    return await _cut(channel, data, 1, data.index(b"\r\n"))


@register_answer_fault("cut in the head")
async def cut_head(channel: Channel, data: bytes) -> bool:
    return await _cut(channel, data, data.index(b"\r\n") + 2, data.index(b"\r\n\r\n") + 3)


@register_answer_fault("cut after a line of the head")
async def cut_after_line(channel: Channel, data: bytes) -> bool:
    head = data.partition(b"\r\n\r\n")[0] + b"\r\n"
    ends = [n + 2 for n in range(len(head)) if head.startswith(b"\r\n", n)]
    position = channel.rng.choice(ends)
    return await _cut(channel, data, position, position)


@register_answer_fault("cut before the body")
async def cut_before_body(channel: Channel, data: bytes) -> bool:
    position = data.index(b"\r\n\r\n") + 4
    return await _cut_framed(channel, data, position, position)


@register_answer_fault("cut in the body")
async def cut_body(channel: Channel, data: bytes) -> bool:
    return await _cut_framed(channel, data, data.index(b"\r\n\r\n") + 4, len(data) - 1)


async def _cut_framed(channel: Channel, data: bytes, first: int, last: int) -> bool:
    # A FIN is the regular end of an answer without a length, so only a reset cuts it.
    head = data.partition(b"\r\n\r\n")[0]
    if b"Content-Length" in head or b"Transfer-Encoding" in head:
        return await _cut(channel, data, first, last)
    await channel.send(data[: channel.rng.randint(first, max(first, last))])
    return channel.reset()


@register_answer_fault("refusal without proof")
async def refuse_without_proof(channel: Channel, data: bytes) -> bool:
    status = channel.rng.choice([301, 302, 400, 401, 403, 404, 405, 409, 413, 422])
    lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    kept = [line for line in lines if line.startswith(b"X-Request-Id")]
    empty = [b"X-Response-Signature: "] if channel.rng.random() < 0.3 else []
    head = [b"HTTP/1.1 %d Refused" % status, *kept, *empty, b"Content-Length: 0"]
    await channel.send(b"\r\n".join([*head, b"", b""]))
    return True


@register_answer_fault("lost")
async def lose(channel: Channel, data: bytes) -> bool:
    return channel.reset() if channel.rng.random() < 0.5 else await channel.finish()
