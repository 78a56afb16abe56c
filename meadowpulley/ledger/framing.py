r"""The framing of the log: frames that any process may append at any time, and that no torn frame can hide.

Every frame begins and ends with "\n" and has none inside. One append is one write, which the kernel carries
out as a whole and in the order of the file, or, where the disk is full or the process is killed during it,
cuts short. The frame that is appended next then ends the torn piece, so that all readers agree on where the
piece ends and that it is void. A piece that is no beginning of a frame is no torn frame: then a foreign
program wrote to the file, or the disk lost data.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple
from zlib import crc32

# The header of a frame, in hexadecimal: the length of the escaped payload, its checksum, and a checksum of
# these two.
FIELD_DIGITS = 8
CHECKED_HEADER_LENGTH = 2 * FIELD_DIGITS
HEADER_LENGTH = 3 * FIELD_DIGITS
HEX_DIGITS = b"0123456789abcdef"

# A payload is escaped, so that no line end is inside a frame.
ESCAPE = b"\x1b"
LINE_END = b"\n"
ESCAPED_ESCAPE = b"\x1b\x01"
ESCAPED_LINE_END = b"\x1b\x02"


class CorruptFrame(Enum):
    """Why a piece of the log holds no payload."""

    TORN = "torn"  # a write that was cut short
    DAMAGED = "damaged"


class Frame(NamedTuple):
    """One piece of the log between two line ends."""

    start: int  # offset in the file
    payload: bytes | CorruptFrame


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of a payload, with the line ends round it."""
    body = payload.replace(ESCAPE, ESCAPED_ESCAPE).replace(LINE_END, ESCAPED_LINE_END)
    checked_header = b"%08x%08x" % (len(body), crc32(body))
    return b"\n%b%08x%b\n" % (checked_header, crc32(checked_header), body)


def decode_frame(frame: bytes) -> bytes | CorruptFrame:
    """Return the payload of a frame, given without the line ends round it."""
    checked_header = frame[:CHECKED_HEADER_LENGTH]
    body = frame[HEADER_LENGTH:]
    if frame[CHECKED_HEADER_LENGTH:HEADER_LENGTH] != b"%08x" % crc32(checked_header):
        # A torn header; a file system may leave zeros, too, after a crash of the machine.
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
    """Splits the bytes of a log, fed in order, into frames."""

    def __init__(self) -> None:
        self._partial = b""
        self._frame_start = 0

    @property
    def offset(self) -> int:
        """Offset in the file of the next byte to feed."""
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
