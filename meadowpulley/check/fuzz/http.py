"""Fuzzing the HTTP/1.1 parser: requests of clients and answers of instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import strategies as st

from meadowpulley.check.fuzz.made import PIECES, spoilt
from meadowpulley.check.fuzz.play import FuzzError, Target
from meadowpulley.net import names
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
from meadowpulley.net.ring import Ring

WORK_A_PIECE = 4 * (HEAD_MAX + BODY_MAX)  # bytes that may be looked at for each piece that comes


class CountingRing(Ring):
    """A ring that counts how many bytes are looked at."""

    looked = 0

    def peek(self, size: int, skip: int = 0) -> bytes:
        found = super().peek(size, skip)
        self.looked += len(found)
        return found


Parsed = tuple[list[tuple[Any, ...]], str]


def _plain(m: Message) -> tuple[Any, ...]:
    return m.method, m.target, m.status, m.minor, tuple(m.headers.items()), m.body, m.keep_alive


def parse_pieces(data: bytes, requests: bool, piece: int) -> Parsed:
    """What a parser makes of bytes that come in pieces, to the end of the connection."""
    ring = CountingRing(RING_BOUND)
    parser = Parser(ring, requests)
    found: list[tuple[Any, ...]] = []
    came = 0
    try:
        for at in range(0, len(data), piece):
            part = data[at : at + piece]
            if len(part) > ring.room:
                raise FuzzError("the ring is full, and the parser takes nothing more from it")
            ring.write(part)
            came += 1
            before = len(found)
            while (message := parser.next()) is not None:
                found.append(_plain(message))
            if ring.looked > WORK_A_PIECE * (came + len(found) - before + 1):
                raise FuzzError(f"{ring.looked} bytes looked at for {came} pieces of {piece}")
        last = parser.end()
        if last is not None:
            found.append(_plain(last))
    except BadMessageError as error:
        if not 400 <= error.status < 600:
            raise FuzzError(f"a bad message has status {error.status}") from None
        return found, "bad"
    except (FuzzError, KeyboardInterrupt):
        raise
    except Exception as error:
        raise FuzzError(f"{type(error).__name__}: {error}") from error
    return found, "begun" if parser.begun else ""


def _check_http(requests: bool) -> Callable[[bytes], None]:
    def check(data: bytes) -> None:
        data = data[: HEAD_MAX + BODY_MAX]
        whole = parse_pieces(data, requests, max(len(data), 1))
        for piece in PIECES:
            if len(data) // piece > 4096:
                continue
            found = parse_pieces(data, requests, piece)
            if found != whole:
                raise FuzzError(f"in pieces of {piece}: {found!r:.300}, at once: {whole!r:.300}")
        for message in whole[0]:
            _check_again(message, requests)

    return check


def _check_again(message: tuple[Any, ...], requests: bool) -> None:
    """What was read is written as it is passed on, and read again: nothing of it may have changed."""
    method, target, status, _, headers, body, _ = message
    kept = {name: v.strip(" \t") for name, v in passed_on(dict(headers), names.SERVICE * requests).items()}
    text = request_bytes(method, target, kept, body) if requests else answer_bytes(status, kept, body)
    if not requests and status < 200:
        return
    again, rest = parse_pieces(text, requests, max(len(text), 1))
    if rest or len(again) != 1:
        raise FuzzError(f"passed on as {text[:200]!r}, which reads as {again!r:.200} {rest}")
    one = again[0]
    as_passed = (one[0], one[1], one[2], passed_on(dict(one[4])), one[5])
    if as_passed != (method, target, status, kept, body):
        raise FuzzError(f"passed on, {message!r:.200} reads as {one!r:.200}")


_token = st.text("abcdefXYZ019-_!~", min_size=1, max_size=12)
_value = st.text([chr(c) for c in (*range(32, 127), 9, 200)], max_size=20)
_known = st.sampled_from(
    ["host", "content-length", "transfer-encoding", "connection", "expect", "te", names.ID, names.REMAINING]
)
_values = st.one_of(
    _value, st.sampled_from(["0", "5", "chunked", "close", "100-continue", "gzip, chunked", "5, 5"])
)
_field = st.tuples(st.one_of(_known, _token), _values).map(lambda f: f"{f[0]}: {f[1]}\r\n".encode("latin-1"))
_chunks = st.lists(st.binary(max_size=20), max_size=6).map(
    lambda parts: b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts if p) + b"0\r\n\r\n"
)
_body = st.one_of(st.just(b""), st.binary(max_size=40), _chunks)
_start_line = st.one_of(
    st.builds(lambda m, t, v: f"{m} /{t} HTTP/1.{v}\r\n".encode(), _token, _token, st.sampled_from("0123")),
    st.sampled_from([b"GET /look HTTP/1.1\r\n", b"POST /pay?w=1 HTTP/1.1\r\n", b"\r\nGET / HTTP/1.1\r\n"]),
)
_status_line = st.one_of(
    st.builds(lambda s, t: f"HTTP/1.1 {s} {t}\r\n".encode(), st.integers(90, 610), _token),
    st.sampled_from([b"HTTP/1.1 200 OK\r\n", b"HTTP/1.0 200\r\n", b"HTTP/1.1 100 Continue\r\n"]),
)


def _message(line: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Sound messages, sized or chunked, and ones whose head and body have nothing to do with each other."""
    fields = st.lists(_field, max_size=6).map(b"".join)
    loose = st.builds(lambda a, f, b: a + f + b"\r\n" + b, line, fields, _body)
    extra = st.lists(st.tuples(_token, _value), max_size=3).map(
        lambda found: b"".join(f"x-{n}: {v}\r\n".encode("latin-1") for n, v in found)
    )
    sized = st.builds(
        lambda a, f, b: a + b"host: a\r\n" + f + b"content-length: %d\r\n\r\n" % len(b) + b,
        line,
        extra,
        st.binary(max_size=40),
    )
    chunked = st.builds(
        lambda a, f, b: a + b"host: a\r\n" + f + b"transfer-encoding: chunked\r\n\r\n" + b,
        line,
        extra,
        _chunks,
    )
    return st.one_of(loose, sized, chunked)


HTTP = (
    Target("requests", "HTTP/1.1 requests of clients", _check_http(True), spoilt(_message(_start_line))),
    Target("answers", "HTTP/1.1 answers of instances", _check_http(False), spoilt(_message(_status_line))),
)
