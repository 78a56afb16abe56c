"""HTTP/1.1 messages: a strict parser that reads from a ring, and a writer. Neither does any I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from meadowpulley.net.ring import RingBuffer

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 1024  # of a chunk's size line or a trailer's line
MAX_HEADER_FIELDS = 100
MAX_READ_BYTES = 64 * 1024  # what the reactor may hand over in one piece
MAX_BUFFERED_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_READ_BYTES

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_REQUEST_LINE = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([01])")
_STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [\t -~\x80-\xff]*)?")
_VERSION_PREFIX = b"HTTP/1."
_EMPTY_LINES = re.compile(rb"(?:\r\n)+")
_FIRST_BYTES = re.compile(_TOKEN + rb"|\r")
_HEADER_FIELDS = re.compile(rb"(?:" + _TOKEN + rb":[\t -~\x80-\xff]*\r\n)*")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,10}")
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t -~\x80-\xff]*)?")
_HOP_BY_HOP = ("connection", "keep-alive", "proxy-connection", "te", "trailer", "upgrade")
_NOT_FORWARDED = frozenset((*_HOP_BY_HOP, "transfer-encoding", "content-length", "expect"))
REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class BadMessageError(Exception):
    """What came is no message of the protocol; `status` is the answer that a client gets for it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A whole request or answer. Names of headers are in lower case; a repeated one is joined by commas."""

    method: str = ""
    target: str = ""
    status: int = 0
    minor_version: int = 1
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


_NO_MESSAGE = Message()  # in place of a message until the head of one has come


class _ParserState(Enum):
    HEAD = "head"
    FIXED_LENGTH = "sized"
    CHUNK_SIZE = "chunk size"
    CHUNK_DATA = "chunk data"
    TRAILER = "trailer"
    UNTIL_CLOSE = "to the end of the connection"


class Parser:
    """Takes messages of one kind, requests or answers, from a ring, one at a time."""

    def __init__(
        self, buffer: RingBuffer, expect_requests: bool, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._buffer, self._expect_requests, self._max_body_bytes = buffer, expect_requests, max_body_bytes
        self._reset()

    def _reset(self) -> None:
        self._state = _ParserState.HEAD
        self._message = _NO_MESSAGE
        self._body = bytearray()
        self._remaining = self._scanned = 0
        self.expects_continue = False  # the client waits for '100 Continue' before it sends the body

    @property
    def has_partial_message(self) -> bool:
        """Whether a part of a message has come."""
        return self._state is not _ParserState.HEAD or len(self._buffer) > 0

    def next_message(self) -> Message | None:
        """The next whole message, or None when more bytes are needed."""
        while True:
            state = self._state
            if state is _ParserState.HEAD:
                progressed = self._parse_head()
            elif state is _ParserState.FIXED_LENGTH:
                if len(self._buffer) < self._remaining:
                    return None
                return self._complete_message(self._buffer.take(self._remaining) if self._remaining else b"")
            elif state is _ParserState.CHUNK_SIZE:
                progressed = self._parse_chunk_size()
            elif state is _ParserState.CHUNK_DATA:
                progressed = self._parse_chunk_data()
            elif state is _ParserState.TRAILER:
                line = self._take_line()
                if line == b"":
                    return self._complete_message(bytes(self._body))
                progressed = line is not None
            else:
                self._body += self._buffer.take(len(self._buffer))
                if len(self._body) > self._max_body_bytes:
                    raise BadMessageError(413, "body too large")
                progressed = False
            if not progressed:
                return None

    def end_of_stream(self) -> Message | None:
        """The connection has ended: the answer that lasted until then, if that is how it was framed."""
        if self._state is _ParserState.UNTIL_CLOSE:
            return self._complete_message(bytes(self._body))
        return None

    def _complete_message(self, body: bytes) -> Message:
        message = self._message
        message.body = body
        self._reset()
        return message

    def _parse_head(self) -> bool:
        buffer = self._buffer
        if not len(buffer):
            return False
        data = buffer.peek(MAX_HEAD_BYTES + 4)
        if self._expect_requests and self._scanned == 0 and (empty_lines := _EMPTY_LINES.match(data)):
            buffer.take(empty_lines.end())  # empty lines before a request are passed over, as RFC 9112 has it
            data = data[empty_lines.end() :]
        if not self._expect_requests and not data.startswith(_VERSION_PREFIX[: len(data)]):
            raise BadMessageError(502, "no status line")  # noise may never end: it is told by its first bytes
        if data and not _FIRST_BYTES.match(data):
            raise BadMessageError(400, "no start line")
        end = data.find(b"\r\n\r\n", max(self._scanned - 3, 0))
        if end < 0:
            if len(buffer) >= MAX_HEAD_BYTES:
                raise BadMessageError(431, "head too large")
            # The rest of a head may never come. Once, as its end comes: a head may come byte by byte.
            if (line_end := data.find(b"\r\n")) > 0 and line_end + 2 > self._scanned:
                self._parse_start_line(data[:line_end].decode("latin-1"))
            self._scanned = (
                0 if data == b"\r" else len(buffer)
            )  # an empty line may still come before the request
            return False
        buffer.take(end + 4)
        line_end = data.find(b"\r\n")
        if _HEADER_FIELDS.fullmatch(data, line_end + 2, end + 2) is None:
            raise BadMessageError(400, "malformed header field")
        lines = data[:end].decode("latin-1").split("\r\n")
        if len(lines) - 1 > MAX_HEADER_FIELDS:
            raise BadMessageError(431, "too many header fields")
        self._message = message = self._parse_start_line(lines[0])
        headers, lengths = message.headers, []
        del lines[0]
        for line in lines:
            name, _, value = line.partition(":")
            name, value = name.lower(), value.strip(" \t")
            if name == "content-length":
                lengths.append(value)
            if name in headers:
                if name == "host":
                    raise BadMessageError(400, "two hosts")
                value = f"{headers[name]}, {value}"
            headers[name] = value
        self._choose_framing(lengths)
        return True

    def _parse_start_line(self, line: str) -> Message:
        matched = (_REQUEST_LINE if self._expect_requests else _STATUS_LINE).fullmatch(line)
        if matched is None:
            raise BadMessageError(400, "malformed start line")
        if self._expect_requests:
            method, target, minor_version = matched.groups()
            return Message(method=method, target=target, minor_version=int(minor_version))
        minor_version, status = matched.groups()
        return Message(status=int(status), minor_version=int(minor_version))

    def _choose_framing(self, lengths: list[str]) -> None:
        message = self._message
        connection = message.headers.get("connection", "").lower()
        options = {o.strip() for o in connection.split(",")} if connection else ()
        message.keep_alive = "close" not in options and (
            message.minor_version == 1 or "keep-alive" in options
        )
        transfer_coding = message.headers.get("transfer-encoding")
        if self._expect_requests and message.minor_version == 1 and "host" not in message.headers:
            raise BadMessageError(400, "no host")
        if len(lengths) > 1 or (lengths and transfer_coding is not None):
            raise BadMessageError(400, "conflicting lengths")
        if transfer_coding is not None:
            if transfer_coding.lower() != "chunked" or message.minor_version == 0:
                raise BadMessageError(400, "unknown transfer coding")
            self._state = _ParserState.CHUNK_SIZE
        elif lengths:
            if not _CONTENT_LENGTH.fullmatch(lengths[0]):
                raise BadMessageError(400, "malformed length")
            self._remaining = int(lengths[0])
            if self._remaining > self._max_body_bytes:
                raise BadMessageError(413, "body too large")
            self._state = _ParserState.FIXED_LENGTH
        elif self._expect_requests or message.status in (204, 304) or message.status < 200:
            self._remaining, self._state = 0, _ParserState.FIXED_LENGTH
        else:
            message.keep_alive = False
            self._state = _ParserState.UNTIL_CLOSE
        if "expect" in message.headers and self._expect_requests:
            body_present = self._state is _ParserState.FIXED_LENGTH and len(self._buffer) >= self._remaining
            self.expects_continue = message.headers["expect"].lower() == "100-continue" and not body_present
            self.expects_continue = (
                self.expects_continue and message.minor_version == 1
            )  # RFC 9110, 10.1.1: HTTP/1.0 knows no 1xx

    def _take_line(self) -> bytes | None:
        end = self._buffer.find(b"\r\n")
        if end > MAX_CHUNK_LINE_BYTES or (end < 0 and len(self._buffer) > MAX_CHUNK_LINE_BYTES):
            raise BadMessageError(400, "line too long")
        return self._buffer.take(end + 2)[:-2] if end >= 0 else None

    def _parse_chunk_size(self) -> bool:
        line = self._take_line()
        if line is None:
            return False
        matched = _CHUNK_SIZE_LINE.fullmatch(line)
        if matched is None:
            raise BadMessageError(400, "malformed chunk")
        self._remaining = int(matched[1], 16)
        if len(self._body) + self._remaining > self._max_body_bytes:
            raise BadMessageError(413, "body too large")
        self._state = _ParserState.CHUNK_DATA if self._remaining else _ParserState.TRAILER
        return True

    def _parse_chunk_data(self) -> bool:
        if len(self._buffer) < self._remaining + 2:
            return False
        data = self._buffer.take(self._remaining + 2)
        if not data.endswith(b"\r\n"):
            raise BadMessageError(400, "malformed chunk")
        self._body += data[:-2]
        self._state = _ParserState.CHUNK_SIZE
        return True


def forwarded_headers(headers: dict[str, str], host: str = "") -> dict[str, str]:
    """The headers that go from end to end; `host` where there is none: a request of HTTP/1.0 may lack it, one
    of HTTP/1.1 may not (RFC 9112, 3.2)."""
    excluded = _NOT_FORWARDED
    if "connection" in headers:
        excluded = excluded | {o.strip().lower() for o in headers["connection"].split(",")}
    forwarded = {name: value for name, value in headers.items() if name not in excluded}
    return {"host": host, **forwarded} if host and "host" not in forwarded else forwarded


def _head_bytes(start_line: str, headers: dict[str, str], body: bytes, with_length: bool) -> bytes:
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    if with_length:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    return _head_bytes(f"{method} {target} HTTP/1.1", headers, body, bool(body) or method != "GET")


def response_bytes(status: int, headers: dict[str, str], body: bytes = b"", close: bool = False) -> bytes:
    headers = {**headers, "connection": "close"} if close else headers
    return _head_bytes(
        f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}", headers, body, status >= 200
    )
