"""Ring buffers, slot tables, deadlines and HTTP parsing, without sockets."""

from __future__ import annotations

import random
from typing import Any

import pytest
from twisted.internet.task import Clock

from meadowpulley.net.deadlines import ConnectionTimeout, Deadlines
from meadowpulley.net.http1 import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    MAX_HEAD_BYTES,
    BadMessageError,
    Message,
    Parser,
    forwarded_headers,
    request_bytes,
    response_bytes,
)
from meadowpulley.net.request_parsing import parse_key, parse_remaining
from meadowpulley.net.ring import INITIAL_BYTES, RingBuffer, RingBufferFullError
from meadowpulley.net.slots import SlotsFullError, SlotTable

HOST = b"Host: app.svc\r\n"


class FakeClock:
    def __init__(self) -> None:
        self.reactor = Clock()
        self.faults: list[str] = []
        self.deadlines = Deadlines(self.reactor, self.faults.append, lambda: self.reactor.seconds() * 1000)


# Ring buffers


def test_ring_returns_what_was_written() -> None:
    rng = random.Random(5)
    ring, sent, got = RingBuffer(10_000), bytearray(), bytearray()
    for _ in range(3000):
        piece = rng.randbytes(rng.randrange(900))
        if len(piece) <= ring.free_bytes:
            ring.write(piece)
            sent += piece
        at = rng.randrange(len(ring) + 1)
        assert ring.peek(50, at) == bytes(sent[len(got) :][at : at + 50])
        got += ring.take(rng.randrange(900))
    got += ring.take(len(ring))
    assert got == sent


def test_ring_is_bounded_and_shrinks_when_empty() -> None:
    ring = RingBuffer(3 * INITIAL_BYTES)
    ring.write(b"x" * 3 * INITIAL_BYTES)
    with pytest.raises(RingBufferFullError):
        ring.write(b"y")
    ring.clear()
    assert len(ring) == 0
    assert ring.free_bytes == 3 * INITIAL_BYTES
    assert len(ring._bytes) == INITIAL_BYTES


def test_ring_find_matches_across_the_wrap_around() -> None:
    ring = RingBuffer(INITIAL_BYTES)
    ring.write(b"a" * (INITIAL_BYTES - 1))
    ring.take(INITIAL_BYTES - 2)
    ring.write(b"b\r\n\r\nc")
    assert ring.find(b"\r\n\r\n") == 2
    assert ring.find(b"zz") == -1
    assert ring.find(b"a", 1) == -1


# Slot tables


def test_stale_handle_finds_and_frees_nothing() -> None:
    slots: SlotTable[str] = SlotTable(2)
    first = slots.put("a")
    assert slots.free(first) == "a"
    second = slots.put("b")
    assert first % 2 == second % 2
    assert first != second
    assert slots.get(first) is None
    assert slots.free(first) is None
    assert slots.get(second) == "b"
    slots.put("c")
    assert slots.full
    assert sorted(slots) == ["b", "c"]
    with pytest.raises(SlotsFullError):
        slots.put("d")


# Deadlines


def test_deadlines_run_in_order_with_one_reactor_call() -> None:
    clock, ran = FakeClock(), []
    for delay in (30, 10, 20, 10):
        clock.deadlines.after(delay, lambda d=delay: ran.append(d))  # type: ignore[misc]
    assert len(clock.reactor.getDelayedCalls()) == 1
    clock.reactor.advance(0.02)
    assert ran == [10, 10, 20]
    clock.reactor.advance(0.01)
    assert ran == [10, 10, 20, 30]
    assert len(clock.deadlines) == 0


def test_cancelled_deadlines_do_not_run_and_are_removed() -> None:
    clock, ran = FakeClock(), []
    kept = clock.deadlines.after(50, lambda: ran.append("kept"))
    for _ in range(1000):
        clock.deadlines.cancel(clock.deadlines.after(20, lambda: ran.append("no")))
    assert len(clock.deadlines) == 1
    assert len(clock.deadlines._heap) < 300
    clock.reactor.advance(0.06)
    assert ran == ["kept"]
    clock.deadlines.cancel(kept)  # cancelling a deadline that has run has no effect
    assert len(clock.deadlines) == 0


def test_raising_call_stops_no_other_and_rescheduling_does_not_starve_input() -> None:
    clock, ran = FakeClock(), []

    def again() -> None:
        ran.append("again")
        clock.deadlines.after(0, again)

    def broken() -> None:
        raise ZeroDivisionError

    clock.deadlines.after(1, broken)
    clock.deadlines.after(1, again)
    clock.reactor.rightNow = 0.002
    clock.deadlines.run_due()
    assert clock.faults == ["deadline"]
    assert ran == ["again"]


def test_moved_timeout_runs_only_at_its_last_time() -> None:
    clock, ran = FakeClock(), []
    timeout = ConnectionTimeout(clock.deadlines)
    for _ in range(10):
        timeout.set(100, lambda: ran.append("late"))
        clock.reactor.advance(0.05)
    assert len(clock.deadlines) == 1
    timeout.set(10, lambda: ran.append("soon"))
    clock.reactor.advance(0.02)
    assert ran == ["soon"]
    timeout.set(10, lambda: ran.append("lifted"))
    timeout.clear()
    clock.reactor.advance(1)
    assert ran == ["soon"]


# HTTP messages


def parse_messages(data: bytes, requests: bool = True, piece: int | None = None) -> list[Message]:
    buffer = RingBuffer(MAX_BUFFERED_BYTES)
    parser = Parser(buffer, requests)
    messages: list[Message] = []
    for offset in range(0, len(data), piece or max(len(data), 1)):
        buffer.write(data[offset : offset + (piece or len(data))])
        while (message := parser.next_message()) is not None:
            messages.append(message)
    return messages


def test_requests_parse_alike_whole_and_byte_by_byte() -> None:
    data = (
        b"\r\nPOST /pay?x=1 HTTP/1.1\r\n" + HOST + b"X-Txn: 9b\r\nContent-Length: 5\r\n\r\nhello"
        b"GET /look HTTP/1.1\r\n" + HOST + b"Connection: close\r\n\r\n"
        b"POST /pay HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"
    )
    whole = parse_messages(data)
    assert whole == parse_messages(data, piece=1) == parse_messages(data, piece=7)
    first, second, third = whole
    assert (first.method, first.target, first.body) == ("POST", "/pay?x=1", b"hello")
    assert first.headers["x-txn"] == "9b"
    assert first.keep_alive
    assert second.method == "GET"
    assert not second.keep_alive
    assert second.body == b""
    assert third.body == b"abcde"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02", 400),
        (b"GET  / HTTP/1.1\r\n" + HOST + b"\r\n", 400),
        (b"GET / HTTP/2.0\r\n" + HOST + b"\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n", 400),
        (b"GET / HTTP/1.1\r\n" + HOST + b"X-A : b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: b\r\n folded\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: b\x00c\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: b\nX-B: c\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: +3\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3, 3\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\nfffff\r\n", 413),
        (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: " + b"b" * MAX_HEAD_BYTES, 431),
        (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: b\r\n" * 200 + b"\r\n", 431),
    ],
    ids=[
        "TLS",
        "two blanks",
        "HTTP 2.0",
        "no host",
        "two hosts",
        "blank before a colon",
        "folded line",
        "null byte",
        "bare line feed",
        "two lengths",
        "length and coding",
        "unknown coding",
        "signed length",
        "list of lengths",
        "length too large",
        "malformed chunk size",
        "chunk longer than its size",
        "chunk too large",
        "head too large",
        "too many fields",
    ],
)
@pytest.mark.parametrize("piece", [None, 1], ids=["whole", "byte by byte"])
def test_bad_requests_raise_their_status(data: bytes, status: int, piece: int | None) -> None:
    with pytest.raises(BadMessageError) as caught:
        parse_messages(data, piece=piece)
    assert caught.value.status == status


def test_head_of_blanks_is_parsed_in_linear_time() -> None:
    # A regular expression that backtracks over every split of the spaces and tabs would take minutes here.
    with pytest.raises(BadMessageError):
        parse_messages(b"GET / HTTP/1.1\r\n" + HOST + b"X-A: " + b" \t" * 7000 + b"\x00\r\n\r\n")


def test_responses_are_parsed_in_every_framing() -> None:
    sized = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
    assert [m.body for m in parse_messages(sized + sized, requests=False)] == [b"hi", b"hi"]
    ring = RingBuffer(MAX_BUFFERED_BYTES)
    parser = Parser(ring, expect_requests=False)
    ring.write(b"HTTP/1.0 200 OK\r\n\r\nto the end")
    assert parser.next_message() is None
    assert parser.has_partial_message
    ended = parser.end_of_stream()
    assert ended is not None
    assert ended.body == b"to the end"
    assert not ended.keep_alive
    assert Parser(RingBuffer(100), expect_requests=False).end_of_stream() is None


def test_serialized_messages_can_be_parsed() -> None:
    [request] = parse_messages(request_bytes("POST", "/pay", {"host": "app.svc", "x-txn": "1"}, b"body"))
    assert (request.method, request.body, request.headers["content-length"]) == ("POST", b"body", "4")
    [reply] = parse_messages(response_bytes(503, {"retry-after": "0.500"}, b"", close=True), requests=False)
    assert reply.status == 503
    assert reply.headers["retry-after"] == "0.500"
    assert not reply.keep_alive


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    headers = {
        "host": "a",
        "connection": "x-mine",
        "x-mine": "1",
        "te": "x",
        "content-length": "3",
        "x-txn": "7",
    }
    assert forwarded_headers(headers) == {"host": "a", "x-txn": "7"}


def test_remaining_times_and_keys_are_parsed() -> None:
    assert parse_remaining("480m") == 480.0
    assert parse_remaining("1500u") == 1.5
    assert parse_key("7f3a9c21e0b4d655") == 0x7F3A9C21E0B4D655
    assert parse_key("") == 0
    assert parse_key("user/9") == parse_key("user/9") != parse_key("user/8")


@pytest.mark.parametrize("text", ["480", "-1m", "1e3m", "m", "48 m", "1s"])
def test_malformed_remaining_time_is_rejected(text: str) -> None:
    with pytest.raises(BadMessageError, match="is no time"):
        parse_remaining(text)


def test_http_1_0_request_is_forwarded_with_a_host() -> None:
    # The gateway forwards requests as HTTP/1.1. Without a Host header, an instance responded with 400, which
    # counted as a failure of the instance.
    assert forwarded_headers({"x-txn": "7"}, "app.svc") == {"host": "app.svc", "x-txn": "7"}
    assert forwarded_headers({"host": "a"}, "app.svc") == {"host": "a"}


class CountingParser(Parser):
    lines = 0

    def _parse_start_line(self, line: str) -> Message:
        self.lines += 1
        return super()._parse_start_line(line)


def test_start_line_is_parsed_once_when_the_head_arrives_byte_by_byte() -> None:
    # The start line was parsed again after every later byte, which took 0.3 s for a head of 16 kB.
    ring = RingBuffer(MAX_BUFFERED_BYTES)
    parser = CountingParser(ring, expect_requests=True)
    for byte in b"\r\n\r\nGET /" + b"a" * 4000 + b" HTTP/1.1\r\n" + HOST + b"X-A: " + b"b" * 4000:
        ring.write(bytes([byte]))
        assert parser.next_message() is None
    assert parser.lines == 1
    ring.write(b"\r\n\r\n")
    assert parser.next_message() is not None
    assert not len(ring)


@pytest.mark.parametrize(("minor_version", "is_expected"), [(0, False), (1, True)])
def test_http_1_0_gets_no_100_continue(minor_version: int, is_expected: bool) -> None:
    ring = RingBuffer(MAX_BUFFERED_BYTES)
    parser = Parser(ring, expect_requests=True)
    fields = HOST + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"
    ring.write(b"POST / HTTP/1.%d\r\n" % minor_version + fields)
    assert parser.next_message() is None
    assert parser.expects_continue is is_expected


class CountingBytes(bytearray):
    """A byte array that counts how many bytes its `find` has searched."""

    searched = 0

    def find(self, needle: Any, start: Any = 0, end: Any = None) -> int:
        found = super().find(needle, start, end)
        CountingBytes.searched += (found if found >= 0 else end) - start
        return found


def test_ring_find_stops_at_its_match() -> None:
    # If many short lines arrived together, finding the end of each line searched all bytes after it, up to
    # 144 kB.
    ring = RingBuffer(4 * INITIAL_BYTES)
    ring.write(b"x\n" * (2 * INITIAL_BYTES))
    ring._bytes = CountingBytes(ring._bytes)
    while (end := ring.find(b"\n")) >= 0:
        ring.take(end + 1)
        if type(ring._bytes) is not CountingBytes:  # the emptied ring has a new, small buffer
            break
    assert 0 < CountingBytes.searched < 4 * INITIAL_BYTES


def test_ring_find_matches_bytes_find() -> None:
    rng = random.Random(3)
    for _ in range(2000):
        ring = RingBuffer(64)
        ring._bytes = bytearray(16)
        filled = rng.randrange(16)
        ring.write(bytes(rng.choices(b"ab", k=filled)))
        ring.take(rng.randrange(filled + 1))
        ring.write(bytes(rng.choices(b"ab", k=rng.randrange(17 - len(ring)))))
        needle, skip = bytes(rng.choices(b"ab", k=rng.randrange(1, 5))), rng.randrange(len(ring) + 2)
        assert ring.find(needle, skip) == ring.peek(len(ring)).find(needle, skip)
