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
_REQUEST = re.compile(rb"(" + _TOKEN + rb") ([!-~]+) HTTP/1\.([01])")
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [\t -~\x80-\xff]*)?")
_FIELD = re.compile(rb"(" + _TOKEN + rb"):([\t -~\x80-\xff]*)")
_LENGTH = re.compile(r"[0-9]{1,10}")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t -~\x80-\xff]*)?")
_HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade")
)
REASONS = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
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
        self._message = Message()
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
                self._body += self._ring.take(self._left)
                return self._whole()
            elif step is _Step.CHUNK_SIZE:
                more = self._chunk_size()
            elif step is _Step.CHUNK_DATA:
                more = self._chunk_data()
            elif step is _Step.TRAILER:
                line = self._line()
                if line == b"":
                    return self._whole()
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
            return self._whole()
        return None

    def _whole(self) -> Message:
        message = self._message
        message.body = bytes(self._body)
        self._reset()
        return message

    def _head(self) -> bool:
        ring = self._ring
        while self._requests and self._seen == 0 and ring.peek(2) == b"\r\n":
            ring.take(2)  # an empty line before a request is passed over, as RFC 9112 has it
        first = ring.peek(1)
        if first and first not in b"\r" and not re.match(_TOKEN, first):
            raise BadMessageError(400, "no start line")
        end = ring.find(b"\r\n\r\n", max(self._seen - 3, 0))
        if end > HEAD_MAX or (end < 0 and len(ring) >= HEAD_MAX):
            raise BadMessageError(431, "head too large")
        if end < 0:
            self._seen = len(ring)
            return False
        lines = ring.take(end + 4)[:-4].split(b"\r\n")
        if len(lines) - 1 > FIELDS_MAX:
            raise BadMessageError(431, "too many header fields")
        self._message = self._start_line(lines[0])
        lengths = self._fields(lines[1:])
        self._frame(lengths)
        return True

    def _start_line(self, line: bytes) -> Message:
        found = (_REQUEST if self._requests else _STATUS).fullmatch(line)
        if found is None:
            raise BadMessageError(400, "malformed start line")
        if self._requests:
            method, target, minor = found.groups()
            return Message(method=method.decode(), target=target.decode(), minor=int(minor))
        minor, status = found.groups()
        return Message(status=int(status), minor=int(minor))

    def _fields(self, lines: list[bytes]) -> list[str]:
        headers, lengths = self._message.headers, []
        for line in lines:
            found = _FIELD.fullmatch(line)
            if found is None:
                raise BadMessageError(400, "malformed header field")
            name, value = found[1].decode().lower(), found[2].decode("latin-1").strip(" \t")
            if name == "content-length":
                lengths.append(value)
            if name == "host" and name in headers:
                raise BadMessageError(400, "two hosts")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        return lengths

    def _frame(self, lengths: list[str]) -> None:
        message = self._message
        options = {o.strip().lower() for o in message.headers.get("connection", "").split(",")}
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
        expect = message.headers.get("expect", "").lower()
        self.expects = self._requests and expect == "100-continue" and self._step is not _Step.HEAD
        if self._step is _Step.SIZED and len(self._ring) >= self._left:
            self.expects = False

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


def passed_on(headers: dict[str, str]) -> dict[str, str]:
    """The headers that go from end to end."""
    named = {o.strip().lower() for o in headers.get("connection", "").split(",")}
    drop = _HOP_BY_HOP | named | {"content-length", "expect"}
    return {name: value for name, value in headers.items() if name not in drop}


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
