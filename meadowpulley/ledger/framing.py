r"""The framing of the log, which lets any process append at any time, even after a torn frame.

Every frame begins and ends with "\n" and contains no other "\n". A frame is appended with one write call.
The kernel performs the write as a whole, in file order, or truncates it if the disk is full or the process is
killed meanwhile. The line end at the start of the next frame then terminates the torn frame, so all readers
agree on where the torn frame ends and that it has no effect. Bytes that are not the beginning of a frame are
damage, not a torn frame: either another program wrote to the file, or the disk lost data.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple
from zlib import crc32

# The header of a frame has three hexadecimal fields: the length of the escaped payload, the checksum of the
# escaped payload, and a checksum of these two fields.
FIELD_DIGITS = 8
CHECKED_HEADER_LENGTH = 2 * FIELD_DIGITS
HEADER_LENGTH = 3 * FIELD_DIGITS
HEX_DIGITS = b"0123456789abcdef"

# The payload is escaped, so that a frame contains no line end.
ESCAPE = b"\x1b"
LINE_END = b"\n"
ESCAPED_ESCAPE = b"\x1b\x01"
ESCAPED_LINE_END = b"\x1b\x02"


class CorruptFrame(Enum):
    """The reason why a frame of the log has no valid payload."""

    TORN = "torn"  # the write was truncated
    DAMAGED = "damaged"  # the bytes are not the beginning of a valid frame


class Frame(NamedTuple):
    """The bytes of the log between two line ends, decoded."""

    start: int  # offset of the frame in the file, in bytes
    payload: bytes | CorruptFrame


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of a payload, including the line ends before and after it."""
    body = payload.replace(ESCAPE, ESCAPED_ESCAPE).replace(LINE_END, ESCAPED_LINE_END)
    checked_header = b"%08x%08x" % (len(body), crc32(body))
    return b"\n%b%08x%b\n" % (checked_header, crc32(checked_header), body)


def decode_frame(frame: bytes) -> bytes | CorruptFrame:
    """Return the payload of a frame that is passed without its line ends, or why it has none."""
    checked_header = frame[:CHECKED_HEADER_LENGTH]
    body = frame[HEADER_LENGTH:]
    if frame[CHECKED_HEADER_LENGTH:HEADER_LENGTH] != b"%08x" % crc32(checked_header):
        # A torn header is a prefix of one. After a machine crash, the file system may also leave zero bytes.
        is_partial_header = len(frame) < HEADER_LENGTH and not frame.strip(HEX_DIGITS)
        is_zeros = not frame.strip(b"\0")
        return CorruptFrame.TORN if is_partial_header or is_zeros else CorruptFrame.DAMAGED
    length = int(checked_header[:FIELD_DIGITS], base=16)
    checksum = int(checked_header[FIELD_DIGITS:], base=16)
    if len(body) != length or crc32(body) != checksum:
        return CorruptFrame.TORN if len(body) < length else CorruptFrame.DAMAGED
    if ESCAPE not in body:
        return body
    return body.replace(ESCAPED_LINE_END, LINE_END).replace(ESCAPED_ESCAPE, ESCAPE)


class FrameReader:
    """Splits the bytes of a log into frames; the bytes are passed to `feed` in file order."""

    def __init__(self) -> None:
        self._partial = b""
        self._frame_start = 0

    @property
    def offset(self) -> int:
        """The file offset of the next byte that `feed` expects."""
        return self._frame_start + len(self._partial)

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield each frame that ends in `data`."""
        parts = (self._partial + data).split(LINE_END)
        self._partial = parts.pop()
        for part in parts:
            start = self._frame_start
            self._frame_start += len(part) + 1
            if part:
                yield Frame(start, decode_frame(part))
