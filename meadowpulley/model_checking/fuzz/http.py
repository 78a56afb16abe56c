"""Fuzzing the HTTP/1.1 parser: requests of clients and answers of instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import strategies as st

from meadowpulley.model_checking.fuzz.runner import FuzzError, Target
from meadowpulley.model_checking.fuzz.strategies import PIECE_SIZES, corrupted
from meadowpulley.net import protocol
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
from meadowpulley.net.ring import RingBuffer

MAX_BYTES_READ_PER_PIECE = 4 * (
    MAX_HEAD_BYTES + MAX_BODY_BYTES
)  # bytes that may be scanned for each piece received


class CountingRing(RingBuffer):
    """A ring that counts how many bytes are scanned."""

    bytes_read = 0

    def peek(self, size: int, skip: int = 0) -> bytes:
        """Return bytes as the buffer does, and count them."""
        data = super().peek(size, skip)
        self.bytes_read += len(data)
        return data


ParseResult = tuple[list[tuple[Any, ...]], str]


def _message_fields(message: Message) -> tuple[Any, ...]:
    return (
        message.method,
        message.target,
        message.status,
        message.minor_version,
        tuple(message.headers.items()),
        message.body,
        message.keep_alive,
    )


def parse_pieces(data: bytes, requests: bool, piece: int) -> ParseResult:
    """What a parser makes of bytes that come in pieces, to the end of the connection."""
    ring = CountingRing(MAX_BUFFERED_BYTES)
    parser = Parser(ring, requests)
    messages: list[tuple[Any, ...]] = []
    piece_count = 0
    try:
        for start in range(0, len(data), piece):
            chunk = data[start : start + piece]
            if len(chunk) > ring.free_bytes:
                raise FuzzError("the ring is full, and the parser takes nothing more from it")
            ring.write(chunk)
            piece_count += 1
            message_count = len(messages)
            while (message := parser.next_message()) is not None:
                messages.append(_message_fields(message))
            if ring.bytes_read > MAX_BYTES_READ_PER_PIECE * (piece_count + len(messages) - message_count + 1):
                raise FuzzError(f"{ring.bytes_read} bytes looked at for {piece_count} pieces of {piece}")
        final_message = parser.end_of_stream()
        if final_message is not None:
            messages.append(_message_fields(final_message))
    except BadMessageError as error:
        if not 400 <= error.status < 600:
            raise FuzzError(f"a bad message has status {error.status}") from None
        return messages, "bad"
    except (FuzzError, KeyboardInterrupt):
        raise
    except Exception as error:
        raise FuzzError(f"{type(error).__name__}: {error}") from error
    return messages, "begun" if parser.has_partial_message else ""


def _check_http(requests: bool) -> Callable[[bytes], None]:
    def check(data: bytes) -> None:
        """Parse the bytes at once and in pieces; raise FuzzError if the results differ."""
        data = data[: MAX_HEAD_BYTES + MAX_BODY_BYTES]
        reference = parse_pieces(data, requests, max(len(data), 1))
        for piece in PIECE_SIZES:
            if len(data) // piece > 4096:
                continue
            result = parse_pieces(data, requests, piece)
            if result != reference:
                raise FuzzError(f"in pieces of {piece}: {result!r:.300}, at once: {reference!r:.300}")
        for message in reference[0]:
            _check_round_trip(message, requests)

    return check


def _check_round_trip(message: tuple[Any, ...], requests: bool) -> None:
    """What was read is written as it is passed on, and read again: nothing of it may have changed."""
    method, target, status, _, headers, body, _ = message
    forwarded = {
        name: v.strip(" \t")
        for name, v in forwarded_headers(dict(headers), protocol.SERVICE_HOST * requests).items()
    }
    encoded = (
        request_bytes(method, target, forwarded, body)
        if requests
        else response_bytes(status, forwarded, body)
    )
    if not requests and status < 200:
        return
    reparsed_messages, remainder = parse_pieces(encoded, requests, max(len(encoded), 1))
    if remainder or len(reparsed_messages) != 1:
        raise FuzzError(
            f"passed on as {encoded[:200]!r}, which reads as {reparsed_messages!r:.200} {remainder}"
        )
    reparsed = reparsed_messages[0]
    reparsed_fields = (
        reparsed[0],
        reparsed[1],
        reparsed[2],
        forwarded_headers(dict(reparsed[4])),
        reparsed[5],
    )
    if reparsed_fields != (method, target, status, forwarded, body):
        raise FuzzError(f"passed on, {message!r:.200} reads as {reparsed!r:.200}")


_token = st.text("abcdefXYZ019-_!~", min_size=1, max_size=12)
_value = st.text([chr(c) for c in (*range(32, 127), 9, 200)], max_size=20)
_known = st.sampled_from(
    [
        "host",
        "content-length",
        "transfer-encoding",
        "connection",
        "expect",
        "te",
        protocol.REQUEST_ID_HEADER,
        protocol.REMAINING_TIME_HEADER,
    ]
)
_values = st.one_of(
    _value, st.sampled_from(["0", "5", "chunked", "close", "100-continue", "gzip, chunked", "5, 5"])
)
_field = st.tuples(st.one_of(_known, _token), _values).map(
    lambda field: f"{field[0]}: {field[1]}\r\n".encode("latin-1")
)
_chunks = st.lists(st.binary(max_size=20), max_size=6).map(
    lambda parts: b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts if p) + b"0\r\n\r\n"
)
_body = st.one_of(st.just(b""), st.binary(max_size=40), _chunks)
_start_line = st.one_of(
    st.builds(
        lambda method, path, minor: f"{method} /{path} HTTP/1.{minor}\r\n".encode(),
        _token,
        _token,
        st.sampled_from("0123"),
    ),
    st.sampled_from([b"GET /look HTTP/1.1\r\n", b"POST /pay?w=1 HTTP/1.1\r\n", b"\r\nGET / HTTP/1.1\r\n"]),
)
_status_line = st.one_of(
    st.builds(
        lambda status, reason: f"HTTP/1.1 {status} {reason}\r\n".encode(), st.integers(90, 610), _token
    ),
    st.sampled_from([b"HTTP/1.1 200 OK\r\n", b"HTTP/1.0 200\r\n", b"HTTP/1.1 100 Continue\r\n"]),
)


def _message(start_line: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Return well-formed messages, sized or chunked, and ones whose head and body do not fit each other."""
    header_fields = st.lists(_field, max_size=6).map(b"".join)
    unrelated = st.builds(
        lambda start, fields, body: start + fields + b"\r\n" + body, start_line, header_fields, _body
    )
    extra_headers = st.lists(st.tuples(_token, _value), max_size=3).map(
        lambda found: b"".join(f"x-{n}: {v}\r\n".encode("latin-1") for n, v in found)
    )
    sized = st.builds(
        lambda start, fields, body: (
            start + b"host: a\r\n" + fields + b"content-length: %d\r\n\r\n" % len(body) + body
        ),
        start_line,
        extra_headers,
        st.binary(max_size=40),
    )
    chunked = st.builds(
        lambda start, fields, body: (
            start + b"host: a\r\n" + fields + b"transfer-encoding: chunked\r\n\r\n" + body
        ),
        start_line,
        extra_headers,
        _chunks,
    )
    return st.one_of(unrelated, sized, chunked)


HTTP = (
    Target("requests", "HTTP/1.1 requests of clients", _check_http(True), corrupted(_message(_start_line))),
    Target("answers", "HTTP/1.1 answers of instances", _check_http(False), corrupted(_message(_status_line))),
)
