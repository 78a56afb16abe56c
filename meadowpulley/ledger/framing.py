r"""The log's framing: lines that any process may append at any time, and that no torn one can hide.

Every line begins and ends with "\n" and has none inside. One append is one write, which the kernel carries
out as a whole in the order of the file, or, where the disk is full or the process killed in the middle,
cuts short. Whatever is appended next then ends the torn piece, so that all readers agree on where it ends
and that it is void. A piece that is no beginning of a line is no torn one: somebody else wrote here, or the
disk lost something.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from zlib import crc32

HEADER_LENGTH = (
    24  # hexadecimal: length of the escaped payload, its checksum, and a checksum of these sixteen
)


class CorruptFrame(Enum):
    TORN = "torn"
    DAMAGED = "damaged"


def encode_frame(payload: bytes) -> bytes:
    body = payload.replace(b"\x1b", b"\x1b\x01").replace(b"\n", b"\x1b\x02")
    checked_header = b"%08x%08x" % (len(body), crc32(body))
    return b"\n%b%08x%b\n" % (checked_header, crc32(checked_header), body)


def decode_frame(frame: bytes) -> bytes | CorruptFrame:
    """The payload of what stood between two line ends."""
    checked_header, body = frame[:16], frame[HEADER_LENGTH:]
    if frame[16:HEADER_LENGTH] != b"%08x" % crc32(checked_header):
        # The start of a head; a file system may leave zeros, too, where a machine died.
        is_partial_header = len(frame) < HEADER_LENGTH and not frame.strip(b"0123456789abcdef")
        return CorruptFrame.TORN if is_partial_header or not frame.strip(b"\0") else CorruptFrame.DAMAGED
    length = int(checked_header[:8], 16)
    if len(body) != length or crc32(body) != int(checked_header[8:], 16):
        return CorruptFrame.TORN if len(body) < length else CorruptFrame.DAMAGED
    return body.replace(b"\x1b\x02", b"\n").replace(b"\x1b\x01", b"\x1b") if b"\x1b" in body else body


class FrameReader:
    """Takes a file's bytes as they come; gives each line once it has ended, and where in the file it
    began."""

    def __init__(self) -> None:
        self._partial = b""
        self._frame_start = 0

    @property
    def offset(self) -> int:
        """Of the next byte to be fed."""
        return self._frame_start + len(self._partial)

    @property
    def pending_bytes(self) -> int:
        """Bytes of a line that has not ended: on its way, or torn."""
        return len(self._partial)

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes | CorruptFrame]]:
        parts = (self._partial + data).split(b"\n")
        self._partial = parts.pop()
        for part in parts:
            start = self._frame_start
            self._frame_start += len(part) + 1
            if part:
                yield start, decode_frame(part)
