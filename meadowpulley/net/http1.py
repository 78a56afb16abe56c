"""HTTP/1.1 messages: a strict incremental parser for ring buffers, and a serializer, without I/O.

The grammar is that of RFC 9112. Where the RFC lets a recipient choose (obsolete line folding, several content
lengths, other transfer codings), the parser rejects the message.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from meadowpulley.net.errors import NetError
from meadowpulley.net.ring import RingBuffer

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 1024  # maximum length of a chunk-size line or a trailer line
MAX_HEADER_FIELDS = 100
SMALL_MESSAGE_BYTES = 4 * 1024  # a message up to this size is never refused for lack of memory
FIELD_OVERHEAD_BYTES = 200  # memory of a parsed header field besides its characters
MAX_READ_BYTES = 16 * 1024  # maximum size of one read from a client or an instance
MAX_BUFFERED_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_READ_BYTES

_LINE_END: Final = b"\r\n"
_LINE_END_BYTES: Final = 2
_HEAD_END: Final = b"\r\n\r\n"
_HEAD_END_BYTES: Final = 4
_FIRST_FINAL_STATUS: Final = 200  # lower statuses are interim responses, which have no body
_STATUSES_WITHOUT_BODY: Final = (204, 304)

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


class BadMessageError(NetError):
    """The input is not a valid message; `status` is the status of the error response to a client."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A complete request or response.

    Header names are in lower case, and the values of a repeated header are joined by commas. `method` and
    `target` are empty in responses, and `status` is 0 in requests. `minor_version` is the x of HTTP/1.x.
    """

    method: str = ""
    target: str = ""
    status: int = 0
    minor_version: int = 1
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    head_bytes: int = 0  # size of the head as it was received

    @property
    def memory_bytes(self) -> int:
        """Estimate of the memory that the message occupies."""
        return self.head_bytes + FIELD_OVERHEAD_BYTES * len(self.headers) + len(self.body)


_NO_MESSAGE = Message()  # the parser's current message until a head has been parsed


def _is_persistent(message: Message) -> bool:
    """Return whether the connection stays open after this message (RFC 9112, 9.3)."""
    connection = message.headers.get("connection", "").lower()
    options = {option.strip() for option in connection.split(",")} if connection else ()
    return "close" not in options and (message.minor_version == 1 or "keep-alive" in options)


def _has_no_body(status: int) -> bool:
    """Return whether responses with this status never have a body (RFC 9112, 6.3)."""
    return status in _STATUSES_WITHOUT_BODY or status < _FIRST_FINAL_STATUS


class _ParserState(Enum):
    """The part of a message that the parser reads next.

    HEAD is followed by FIXED_LENGTH, CHUNK_SIZE or UNTIL_CLOSE, depending on the framing of the body.
    CHUNK_SIZE and CHUNK_DATA alternate; the last chunk is followed by TRAILER. After a complete message the
    state is HEAD again.
    """

    HEAD = "head"
    FIXED_LENGTH = "fixed length"
    CHUNK_SIZE = "chunk size"
    CHUNK_DATA = "chunk data"
    TRAILER = "trailer"
    UNTIL_CLOSE = "until close"


class Parser:
    """Parses either requests or responses from a buffer, one message at a time."""

    def __init__(
        self, buffer: RingBuffer, expect_requests: bool, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._buffer = buffer
        self._expect_requests = expect_requests
        self._max_body_bytes = max_body_bytes
        self._reset()

    def _reset(self) -> None:
        self._state = _ParserState.HEAD
        self._message = _NO_MESSAGE
        self._body = bytearray()
        self._remaining = 0  # length in bytes of the fixed-length body or the current chunk
        self._scanned = 0  # number of bytes already searched for the end of the head
        self._line_ends = 0  # number of line ends in these bytes
        self.expects_continue = False  # whether the client sends the body only after '100 Continue'

    @property
    def has_partial_message(self) -> bool:
        """Whether a part of the next message has been received."""
        return self._state is not _ParserState.HEAD or len(self._buffer) > 0

    @property
    def held_bytes(self) -> int:
        """Memory of the part of a message that was taken from the buffer."""
        return self._message.memory_bytes + len(self._body)

    def discard_partial_message(self) -> None:
        """Forget the part of a message that was taken from the buffer. The rest of it can't be parsed."""
        self._reset()

    @property
    def missing_body_bytes(self) -> int:
        """Number of bytes of a body of declared length that were not received yet; 0 for other messages."""
        if self._state is not _ParserState.FIXED_LENGTH:
            return 0
        return max(self._remaining - len(self._buffer), 0)

    def next_message(self) -> Message | None:
        """Return the next complete message, or None if more bytes are needed.

        Raises:
            BadMessageError: the input is malformed or exceeds a limit; the parser can't continue.
        """
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
                self._take_body_until_close()
                progressed = False
            if not progressed:
                return None

    def end_of_stream(self) -> Message | None:
        """Return the response that the end of the connection completes, or None if there is none."""
        if self._state is _ParserState.UNTIL_CLOSE:
            return self._complete_message(bytes(self._body))
        return None

    def _take_body_until_close(self) -> None:
        """Append all input to a body that is delimited by the end of the connection."""
        self._body += self._buffer.take(len(self._buffer))
        if len(self._body) > self._max_body_bytes:
            raise BadMessageError(413, "body too large")

    def _complete_message(self, body: bytes) -> Message:
        message = self._message
        message.body = body
        self._reset()
        return message

    def _parse_head(self) -> bool:
        if not len(self._buffer):
            return False
        data = self._peek_head()
        # The end marker of 4 bytes may start within the last 3 bytes that the previous call has searched.
        end = data.find(_HEAD_END, max(self._scanned - 3, 0))
        if end < 0:
            self._check_partial_head(data)
            return False
        # Count before parsing: many short fields would take a hundred times their size while they are parsed.
        if data.count(_LINE_END, 0, end) > MAX_HEADER_FIELDS:
            raise BadMessageError(431, "too many header fields")
        self._buffer.take(end + _HEAD_END_BYTES)
        fields_start = data.find(_LINE_END) + _LINE_END_BYTES
        if _HEADER_FIELDS.fullmatch(data, fields_start, end + _LINE_END_BYTES) is None:
            raise BadMessageError(400, "malformed header field")
        lines = data[:end].decode("latin-1").split("\r\n")
        self._message = self._parse_start_line(lines[0])
        self._message.head_bytes = end
        del lines[0]
        self._choose_framing(self._parse_fields(lines))
        return True

    def _peek_head(self) -> bytes:
        """Return the buffered bytes of a head, after removing empty lines before a request.

        Raises:
            BadMessageError: no valid message starts with these bytes.
        """
        data = self._buffer.peek(MAX_HEAD_BYTES + _HEAD_END_BYTES)
        if self._expect_requests and self._scanned == 0 and (empty_lines := _EMPTY_LINES.match(data)):
            self._buffer.take(empty_lines.end())  # RFC 9112, 2.2: empty lines before a request are ignored
            data = data[empty_lines.end() :]
        if not self._expect_requests and not data.startswith(_VERSION_PREFIX[: len(data)]):
            raise BadMessageError(502, "no status line")  # reject early: invalid input may never end
        if data and not _FIRST_BYTES.match(data):
            raise BadMessageError(400, "no start line")
        return data

    def _check_partial_head(self, data: bytes) -> None:
        """Reject an incomplete head that can't become valid, since the rest of it may never arrive."""
        buffered_bytes = len(self._buffer)
        if buffered_bytes >= MAX_HEAD_BYTES:
            raise BadMessageError(431, "head too large")
        # Check the start line only once, when its end arrives, since a head may arrive byte by byte.
        line_end = data.find(_LINE_END)
        if line_end > 0 and line_end + _LINE_END_BYTES > self._scanned:
            self._parse_start_line(data[:line_end].decode("latin-1"))
        # The first line end ends the start line. A line end that was split counts with its last byte.
        self._line_ends += data.count(_LINE_END, max(self._scanned - 1, 0))
        if self._line_ends > MAX_HEADER_FIELDS + 1:
            raise BadMessageError(431, "too many header fields")
        # A single CR may be the first half of an empty line, which `_peek_head` removes only while `_scanned`
        # is 0.
        self._scanned = 0 if data == b"\r" else buffered_bytes

    def _parse_fields(self, lines: list[str]) -> list[str]:
        """Store the header fields in the message and return the values of all content-length fields."""
        headers = self._message.headers
        lengths: list[str] = []
        for line in lines:
            name, _, value = line.partition(":")
            name = name.lower()
            value = value.strip(" \t")
            if name == "content-length":
                lengths.append(value)
            if name in headers:
                if name == "host":
                    raise BadMessageError(400, "two hosts")
                value = f"{headers[name]}, {value}"
            headers[name] = value
        return lengths

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
        """Set `keep_alive`, `expects_continue` and the state that reads the body (RFC 9112, 6.3)."""
        message = self._message
        message.keep_alive = _is_persistent(message)
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
            self._set_fixed_length(lengths[0])
        elif self._expect_requests or _has_no_body(message.status):
            self._remaining = 0
            self._state = _ParserState.FIXED_LENGTH
        else:
            message.keep_alive = False
            self._state = _ParserState.UNTIL_CLOSE
        if "expect" in message.headers and self._expect_requests:
            self.expects_continue = self._awaits_continue(message)

    def _set_fixed_length(self, length: str) -> None:
        if not _CONTENT_LENGTH.fullmatch(length):
            raise BadMessageError(400, "malformed length")
        self._remaining = int(length)
        if self._remaining > self._max_body_bytes:
            raise BadMessageError(413, "body too large")
        self._state = _ParserState.FIXED_LENGTH

    def _awaits_continue(self, message: Message) -> bool:
        """Return whether the client waits for '100 Continue' before it sends the body.

        The expectation of an HTTP/1.0 client is ignored (RFC 9110, 10.1.1).
        """
        body_present = self._state is _ParserState.FIXED_LENGTH and len(self._buffer) >= self._remaining
        expectation = message.headers["expect"].lower()
        return expectation == "100-continue" and not body_present and message.minor_version == 1

    def _take_line(self) -> bytes | None:
        end = self._buffer.find(_LINE_END)
        if end > MAX_CHUNK_LINE_BYTES or (end < 0 and len(self._buffer) > MAX_CHUNK_LINE_BYTES):
            raise BadMessageError(400, "line too long")
        return self._buffer.take(end + _LINE_END_BYTES)[:-_LINE_END_BYTES] if end >= 0 else None

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
        data = self._buffer.take(self._remaining + _LINE_END_BYTES)
        if not data.endswith(_LINE_END):
            raise BadMessageError(400, "malformed chunk")
        self._body += data[:-_LINE_END_BYTES]
        self._state = _ParserState.CHUNK_SIZE
        return True


def forwarded_headers(headers: dict[str, str], host: str = "") -> dict[str, str]:
    """Return the end-to-end headers of a message.

    `host` is added if the message has no host header, which is optional in HTTP/1.0 and required in HTTP/1.1
    (RFC 9112, 3.2).
    """
    excluded = _NOT_FORWARDED
    if "connection" in headers:
        excluded = excluded | {option.strip().lower() for option in headers["connection"].split(",")}
    forwarded = {name: value for name, value in headers.items() if name not in excluded}
    if host and "host" not in forwarded:
        return {"host": host, **forwarded}
    return forwarded


def _serialize(start_line: str, headers: dict[str, str], body: bytes, with_length: bool) -> bytes:
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    if with_length:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Serialize a request, with a content-length unless the request is a GET without a body."""
    with_length = bool(body) or method != "GET"
    return _serialize(f"{method} {target} HTTP/1.1", headers, body, with_length)


def response_bytes(status: int, headers: dict[str, str], body: bytes = b"", close: bool = False) -> bytes:
    """Serialize a response; `close` adds `connection: close`. Interim responses have no content-length."""
    if close:
        headers = {**headers, "connection": "close"}
    status_line = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"
    return _serialize(status_line, headers, body, with_length=status >= _FIRST_FINAL_STATUS)
