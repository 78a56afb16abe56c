"""HTTP/1.1 messages: a strict parser that reads from a ring, and a writer. Neither does any I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from meadowpulley.net.ring import Ring

HEAD_MAX = 16 * 1024
BODY_MAX = 64 * 1024
LINE_MAX = 1024  # of a chunk's size line or a trailer's line
FIELDS_MAX = 100
READ_MAX = 64 * 1024  # what the reactor may hand over in one piece
RING_BOUND = HEAD_MAX + BODY_MAX + READ_MAX

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_REQUEST = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([01])")
_STATUS = re.compile(r"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [\t -~\x80-\xff]*)?")
_VERSION = b"HTTP/1."
_EMPTY = re.compile(rb"(?:\r\n)+")
_FIRST = re.compile(_TOKEN + rb"|\r")
_FIELDS = re.compile(rb"(?:" + _TOKEN + rb":[\t -~\x80-\xff]*\r\n)*")
_LENGTH = re.compile(r"[0-9]{1,10}")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t -~\x80-\xff]*)?")
_HOP_BY_HOP = ("connection", "keep-alive", "proxy-connection", "te", "trailer", "upgrade")
_DROPPED = frozenset((*_HOP_BY_HOP, "transfer-encoding", "content-length", "expect"))
REASONS = {
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
    minor: int = 1
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


_NONE = Message()  # in place of a message until the head of one has come


class _Step(Enum):
    HEAD = "head"
    SIZED = "sized"
    CHUNK_SIZE = "chunk size"
    CHUNK_DATA = "chunk data"
    TRAILER = "trailer"
    TO_END = "to the end of the connection"


class Parser:
    """Takes messages of one kind, requests or answers, from a ring, one at a time."""

    def __init__(self, ring: Ring, requests: bool, body_max: int = BODY_MAX) -> None:
        self._ring, self._requests, self._body_max = ring, requests, body_max
        self._reset()

    def _reset(self) -> None:
        self._step = _Step.HEAD
        self._message = _NONE
        self._body = bytearray()
        self._left = self._seen = 0
        self.expects = False  # the client waits for '100 Continue' before it sends the body

    @property
    def begun(self) -> bool:
        """Whether a part of a message has come."""
        return self._step is not _Step.HEAD or len(self._ring) > 0

    def next(self) -> Message | None:
        """The next whole message, or None when more bytes are needed."""
        while True:
            step = self._step
            if step is _Step.HEAD:
                more = self._head()
            elif step is _Step.SIZED:
                if len(self._ring) < self._left:
                    return None
                return self._whole(self._ring.take(self._left) if self._left else b"")
            elif step is _Step.CHUNK_SIZE:
                more = self._chunk_size()
            elif step is _Step.CHUNK_DATA:
                more = self._chunk_data()
            elif step is _Step.TRAILER:
                line = self._line()
                if line == b"":
                    return self._whole(bytes(self._body))
                more = line is not None
            else:
                self._body += self._ring.take(len(self._ring))
                if len(self._body) > self._body_max:
                    raise BadMessageError(413, "body too large")
                more = False
            if not more:
                return None

    def end(self) -> Message | None:
        """The connection has ended: the answer that lasted until then, if that is how it was framed."""
        if self._step is _Step.TO_END:
            return self._whole(bytes(self._body))
        return None

    def _whole(self, body: bytes) -> Message:
        message = self._message
        message.body = body
        self._reset()
        return message

    def _head(self) -> bool:
        ring = self._ring
        if not len(ring):
            return False
        data = ring.peek(HEAD_MAX + 4)
        if self._requests and self._seen == 0 and (empty := _EMPTY.match(data)):
            ring.take(empty.end())  # empty lines before a request are passed over, as RFC 9112 has it
            data = data[empty.end() :]
        if not self._requests and not data.startswith(_VERSION[: len(data)]):
            raise BadMessageError(502, "no status line")  # noise may never end: it is told by its first bytes
        if data and not _FIRST.match(data):
            raise BadMessageError(400, "no start line")
        end = data.find(b"\r\n\r\n", max(self._seen - 3, 0))
        if end < 0:
            if len(ring) >= HEAD_MAX:
                raise BadMessageError(431, "head too large")
            # The rest of a head may never come. Once, as its end comes: a head may come byte by byte.
            if (first := data.find(b"\r\n")) > 0 and first + 2 > self._seen:
                self._start_line(data[:first].decode("latin-1"))
            self._seen = 0 if data == b"\r" else len(ring)  # an empty line may still come before the request
            return False
        ring.take(end + 4)
        first = data.find(b"\r\n")
        if _FIELDS.fullmatch(data, first + 2, end + 2) is None:
            raise BadMessageError(400, "malformed header field")
        lines = data[:end].decode("latin-1").split("\r\n")
        if len(lines) - 1 > FIELDS_MAX:
            raise BadMessageError(431, "too many header fields")
        self._message = message = self._start_line(lines[0])
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
        self._frame(lengths)
        return True

    def _start_line(self, line: str) -> Message:
        found = (_REQUEST if self._requests else _STATUS).fullmatch(line)
        if found is None:
            raise BadMessageError(400, "malformed start line")
        if self._requests:
            method, target, minor = found.groups()
            return Message(method=method, target=target, minor=int(minor))
        minor, status = found.groups()
        return Message(status=int(status), minor=int(minor))

    def _frame(self, lengths: list[str]) -> None:
        message = self._message
        connection = message.headers.get("connection", "").lower()
        options = {o.strip() for o in connection.split(",")} if connection else ()
        message.keep_alive = "close" not in options and (message.minor == 1 or "keep-alive" in options)
        coding = message.headers.get("transfer-encoding")
        if self._requests and message.minor == 1 and "host" not in message.headers:
            raise BadMessageError(400, "no host")
        if len(lengths) > 1 or (lengths and coding is not None):
            raise BadMessageError(400, "conflicting lengths")
        if coding is not None:
            if coding.lower() != "chunked" or message.minor == 0:
                raise BadMessageError(400, "unknown transfer coding")
            self._step = _Step.CHUNK_SIZE
        elif lengths:
            if not _LENGTH.fullmatch(lengths[0]):
                raise BadMessageError(400, "malformed length")
            self._left = int(lengths[0])
            if self._left > self._body_max:
                raise BadMessageError(413, "body too large")
            self._step = _Step.SIZED
        elif self._requests or message.status in (204, 304) or message.status < 200:
            self._left, self._step = 0, _Step.SIZED
        else:
            message.keep_alive = False
            self._step = _Step.TO_END
        if "expect" in message.headers and self._requests:
            whole = self._step is _Step.SIZED and len(self._ring) >= self._left
            self.expects = message.headers["expect"].lower() == "100-continue" and not whole
            self.expects = self.expects and message.minor == 1  # RFC 9110, 10.1.1: HTTP/1.0 knows no 1xx

    def _line(self) -> bytes | None:
        end = self._ring.find(b"\r\n")
        if end > LINE_MAX or (end < 0 and len(self._ring) > LINE_MAX):
            raise BadMessageError(400, "line too long")
        return self._ring.take(end + 2)[:-2] if end >= 0 else None

    def _chunk_size(self) -> bool:
        line = self._line()
        if line is None:
            return False
        found = _CHUNK.fullmatch(line)
        if found is None:
            raise BadMessageError(400, "malformed chunk")
        self._left = int(found[1], 16)
        if len(self._body) + self._left > self._body_max:
            raise BadMessageError(413, "body too large")
        self._step = _Step.CHUNK_DATA if self._left else _Step.TRAILER
        return True

    def _chunk_data(self) -> bool:
        if len(self._ring) < self._left + 2:
            return False
        data = self._ring.take(self._left + 2)
        if not data.endswith(b"\r\n"):
            raise BadMessageError(400, "malformed chunk")
        self._body += data[:-2]
        self._step = _Step.CHUNK_SIZE
        return True


def passed_on(headers: dict[str, str], host: str = "") -> dict[str, str]:
    """The headers that go from end to end; `host` where there is none: a request of HTTP/1.0 may lack it, one
    of HTTP/1.1 may not (RFC 9112, 3.2)."""
    drop = _DROPPED
    if "connection" in headers:
        drop = drop | {o.strip().lower() for o in headers["connection"].split(",")}
    kept = {name: value for name, value in headers.items() if name not in drop}
    return {"host": host, **kept} if host and "host" not in kept else kept


def _head_bytes(start: str, headers: dict[str, str], body: bytes, sized: bool) -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if sized:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    return _head_bytes(f"{method} {target} HTTP/1.1", headers, body, bool(body) or method != "GET")


def answer_bytes(status: int, headers: dict[str, str], body: bytes = b"", close: bool = False) -> bytes:
    headers = {**headers, "connection": "close"} if close else headers
    return _head_bytes(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", headers, body, status >= 200)
