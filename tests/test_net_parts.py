"""Rings, slots, deadlines and the parser of the gateway, without a socket."""

from __future__ import annotations

import random
from typing import Any

import pytest
from twisted.internet.task import Clock

from meadowpulley.net.deadlines import Deadlines, Limit
from meadowpulley.net.http1 import (
    BODY_MAX,
    HEAD_MAX,
    RING_BOUND,
    BadMessageError,
    Message,
    Parser,
    answer_bytes,
    passed_on,
    request_bytes,
)
from meadowpulley.net.intake import parse_key, parse_remaining
from meadowpulley.net.ring import START, Ring, RingFullError
from meadowpulley.net.slots import Slots, SlotsFullError

HOST = b"Host: app.svc\r\n"


class Time:
    def __init__(self) -> None:
        self.reactor = Clock()
        self.faults: list[str] = []
        self.deadlines = Deadlines(self.reactor, self.faults.append, lambda: self.reactor.seconds() * 1000)


# Rings


def test_a_ring_gives_back_what_it_took_whatever_the_pieces() -> None:
    rng = random.Random(5)
    ring, sent, got = Ring(10_000), bytearray(), bytearray()
    for _ in range(3000):
        piece = rng.randbytes(rng.randrange(900))
        if len(piece) <= ring.room:
            ring.write(piece)
            sent += piece
        at = rng.randrange(len(ring) + 1)
        assert ring.peek(50, at) == bytes(sent[len(got) :][at : at + 50])
        got += ring.take(rng.randrange(900))
    got += ring.take(len(ring))
    assert got == sent


def test_a_ring_is_bounded_and_small_again_once_empty() -> None:
    ring = Ring(3 * START)
    ring.write(b"x" * 3 * START)
    with pytest.raises(RingFullError):
        ring.write(b"y")
    ring.clear()
    assert len(ring) == 0 and ring.room == 3 * START and len(ring._bytes) == START


def test_a_ring_finds_across_its_seam() -> None:
    ring = Ring(START)
    ring.write(b"a" * (START - 1))
    ring.take(START - 2)
    ring.write(b"b\r\n\r\nc")
    assert ring.find(b"\r\n\r\n") == 2 and ring.find(b"zz") == -1 and ring.find(b"a", 1) == -1


# Slots


def test_a_stale_handle_finds_nothing_and_frees_nothing() -> None:
    slots: Slots[str] = Slots(2)
    first = slots.put("a")
    assert slots.free(first) == "a"
    second = slots.put("b")
    assert first % 2 == second % 2 and first != second
    assert slots.get(first) is None and slots.free(first) is None and slots.get(second) == "b"
    slots.put("c")
    assert slots.full and sorted(slots) == ["b", "c"]
    with pytest.raises(SlotsFullError):
        slots.put("d")


# Deadlines


def test_deadlines_run_in_order_behind_one_call_of_the_reactor() -> None:
    time, ran = Time(), []
    for delay in (30, 10, 20, 10):
        time.deadlines.after(delay, lambda d=delay: ran.append(d))  # type: ignore[misc]
    assert len(time.reactor.getDelayedCalls()) == 1
    time.reactor.advance(0.02)
    assert ran == [10, 10, 20]
    time.reactor.advance(0.01)
    assert ran == [10, 10, 20, 30] and len(time.deadlines) == 0


def test_a_deadline_called_off_does_not_run_and_many_are_cleared_away() -> None:
    time, ran = Time(), []
    kept = time.deadlines.after(50, lambda: ran.append("kept"))
    for _ in range(1000):
        time.deadlines.call_off(time.deadlines.after(20, lambda: ran.append("no")))
    assert len(time.deadlines) == 1 and len(time.deadlines._heap) < 300
    time.reactor.advance(0.06)
    assert ran == ["kept"]
    time.deadlines.call_off(kept)  # one that has run is nothing to call off
    assert len(time.deadlines) == 0


def test_a_call_that_raises_stops_no_other_and_one_that_sets_itself_anew_does_not_starve_input() -> None:
    time, ran = Time(), []

    def again() -> None:
        ran.append("again")
        time.deadlines.after(0, again)

    def broken() -> None:
        raise ZeroDivisionError

    time.deadlines.after(1, broken)
    time.deadlines.after(1, again)
    time.reactor.rightNow = 0.002
    time.deadlines.run_due()
    assert time.faults == ["deadline"] and ran == ["again"]


def test_a_limit_that_moves_runs_only_at_its_last_place() -> None:
    time, ran = Time(), []
    limit = Limit(time.deadlines)
    for _ in range(10):
        limit.set(100, lambda: ran.append("late"))
        time.reactor.advance(0.05)
    assert len(time.deadlines) == 1
    limit.set(10, lambda: ran.append("soon"))
    time.reactor.advance(0.02)
    assert ran == ["soon"]
    limit.set(10, lambda: ran.append("lifted"))
    limit.lift()
    time.reactor.advance(1)
    assert ran == ["soon"]


# Messages


def parse(data: bytes, requests: bool = True, piece: int | None = None) -> list[Message]:
    ring = Ring(RING_BOUND)
    parser = Parser(ring, requests)
    found: list[Message] = []
    for at in range(0, len(data), piece or max(len(data), 1)):
        ring.write(data[at : at + (piece or len(data))])
        while (message := parser.next()) is not None:
            found.append(message)
    return found


def test_requests_are_read_whole_and_byte_by_byte_alike() -> None:
    data = (
        b"\r\nPOST /pay?x=1 HTTP/1.1\r\n" + HOST + b"X-Txn: 9b\r\nContent-Length: 5\r\n\r\nhello"
        b"GET /look HTTP/1.1\r\n" + HOST + b"Connection: close\r\n\r\n"
        b"POST /pay HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"
    )
    whole = parse(data)
    assert whole == parse(data, piece=1) == parse(data, piece=7)
    first, second, third = whole
    assert (first.method, first.target, first.body) == ("POST", "/pay?x=1", b"hello")
    assert first.headers["x-txn"] == "9b" and first.keep_alive
    assert second.method == "GET" and not second.keep_alive and second.body == b""
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
        (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n" % (BODY_MAX + 1), 413),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\nfffff\r\n", 413),
        (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: " + b"b" * HEAD_MAX, 431),
        (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: b\r\n" * 200 + b"\r\n", 431),
    ],
)
def test_bad_requests_are_named(data: bytes, status: int) -> None:
    for piece in (None, 1):
        with pytest.raises(BadMessageError) as caught:
            parse(data, piece=piece)
        assert caught.value.status == status


def test_a_head_of_blanks_costs_no_more_than_its_length() -> None:
    # An expression that tries every split of a run of blanks would take minutes here.
    with pytest.raises(BadMessageError):
        parse(b"GET / HTTP/1.1\r\n" + HOST + b"X-A: " + b" \t" * 7000 + b"\x00\r\n\r\n")


def test_answers_are_read_in_every_framing() -> None:
    sized = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
    assert [m.body for m in parse(sized + sized, requests=False)] == [b"hi", b"hi"]
    ring = Ring(RING_BOUND)
    parser = Parser(ring, requests=False)
    ring.write(b"HTTP/1.0 200 OK\r\n\r\nto the end")
    assert parser.next() is None and parser.begun
    ended = parser.end()
    assert ended is not None and ended.body == b"to the end" and not ended.keep_alive
    assert Parser(Ring(100), requests=False).end() is None


def test_what_is_written_can_be_read() -> None:
    [request] = parse(request_bytes("POST", "/pay", {"host": "app.svc", "x-txn": "1"}, b"body"))
    assert (request.method, request.body, request.headers["content-length"]) == ("POST", b"body", "4")
    [answer] = parse(answer_bytes(503, {"retry-after": "0.500"}, b"", close=True), requests=False)
    assert answer.status == 503 and answer.headers["retry-after"] == "0.500" and not answer.keep_alive


def test_hop_by_hop_headers_stay_behind() -> None:
    headers = {
        "host": "a",
        "connection": "x-mine",
        "x-mine": "1",
        "te": "x",
        "content-length": "3",
        "x-txn": "7",
    }
    assert passed_on(headers) == {"host": "a", "x-txn": "7"}


def test_times_and_keys() -> None:
    assert parse_remaining("480m") == 480.0 and parse_remaining("1500u") == 1.5
    for bad in ("480", "-1m", "1e3m", "m", "48 m", "1s"):
        with pytest.raises(BadMessageError):
            parse_remaining(bad)
    assert parse_key("7f3a9c21e0b4d655") == 0x7F3A9C21E0B4D655 and parse_key("") == 0
    assert parse_key("user/9") == parse_key("user/9") != parse_key("user/8")


def test_a_request_of_http_1_0_is_passed_on_with_a_host() -> None:
    # An instance answers 400 to one of HTTP/1.1 without it, which counted against the instance.
    assert passed_on({"x-txn": "7"}, "app.svc") == {"host": "app.svc", "x-txn": "7"}
    assert passed_on({"host": "a"}, "app.svc") == {"host": "a"}


class Counted(Parser):
    lines = 0

    def _start_line(self, line: str) -> Message:
        self.lines += 1
        return super()._start_line(line)


def test_a_head_that_comes_byte_by_byte_has_its_start_line_read_once() -> None:
    # It was read again with every byte behind it: 0.3 s of work for a head of 16 kB.
    ring = Ring(RING_BOUND)
    parser = Counted(ring, requests=True)
    for byte in b"\r\n\r\nGET /" + b"a" * 4000 + b" HTTP/1.1\r\n" + HOST + b"X-A: " + b"b" * 4000:
        ring.write(bytes([byte]))
        assert parser.next() is None
    assert parser.lines == 1
    ring.write(b"\r\n\r\n")
    assert parser.next() is not None and not len(ring)


def test_no_continuation_is_told_to_http_1_0() -> None:
    for minor in (0, 1):
        ring = Ring(RING_BOUND)
        parser = Parser(ring, requests=True)
        rest = b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        ring.write(b"POST / HTTP/1.%d\r\n" % minor + HOST + rest)
        assert parser.next() is None and parser.expects == bool(minor)


class Watched(bytearray):
    """Bytes that count how far they were searched."""

    searched = 0

    def find(self, needle: Any, start: Any = 0, end: Any = None) -> int:
        found = super().find(needle, start, end)
        Watched.searched += (found if found >= 0 else end) - start
        return found


def test_a_ring_looks_no_further_than_what_it_finds() -> None:
    # 144 kB of short lines that came at once cost the whole of the rest each.
    ring = Ring(4 * START)
    ring.write(b"x\n" * (2 * START))
    ring._bytes = Watched(ring._bytes)
    while (end := ring.find(b"\n")) >= 0:
        ring.take(end + 1)
        if type(ring._bytes) is not Watched:  # emptied: it is small again
            break
    assert 0 < Watched.searched < 4 * START


def test_a_ring_finds_as_bytes_do_wherever_its_seam_is() -> None:
    rng = random.Random(3)
    for _ in range(2000):
        ring = Ring(64)
        ring._bytes = bytearray(16)
        filled = rng.randrange(16)
        ring.write(bytes(rng.choices(b"ab", k=filled)))
        ring.take(rng.randrange(filled + 1))
        ring.write(bytes(rng.choices(b"ab", k=rng.randrange(17 - len(ring)))))
        needle, skip = bytes(rng.choices(b"ab", k=rng.randrange(1, 5))), rng.randrange(len(ring) + 2)
        assert ring.find(needle, skip) == ring.peek(len(ring)).find(needle, skip)
