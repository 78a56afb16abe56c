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

HEAD = 24  # hexadecimal: length of the escaped payload, its checksum, and a checksum of these sixteen


class Bad(Enum):
    TORN = "torn"
    DAMAGED = "damaged"


def frame(payload: bytes) -> bytes:
    body = payload.replace(b"\x1b", b"\x1b\x01").replace(b"\n", b"\x1b\x02")
    first = b"%08x%08x" % (len(body), crc32(body))
    return b"\n%b%08x%b\n" % (first, crc32(first), body)


def unframe(line: bytes) -> bytes | Bad:
    """The payload of what stood between two line ends."""
    first, body = line[:16], line[HEAD:]
    if line[16:HEAD] != b"%08x" % crc32(first):
        # The start of a head; a file system may leave zeros, too, where a machine died.
        torn = len(line) < HEAD and not line.strip(b"0123456789abcdef")
        return Bad.TORN if torn or not line.strip(b"\0") else Bad.DAMAGED
    length = int(first[:8], 16)
    if len(body) != length or crc32(body) != int(first[8:], 16):
        return Bad.TORN if len(body) < length else Bad.DAMAGED
    return body.replace(b"\x1b\x02", b"\n").replace(b"\x1b\x01", b"\x1b") if b"\x1b" in body else body


class Lines:
    """Takes a file's bytes as they come; gives each line once it has ended, and where in the file it
    began."""

    def __init__(self) -> None:
        self._rest = b""
        self._at = 0

    @property
    def offset(self) -> int:
        """Of the next byte to be fed."""
        return self._at + len(self._rest)

    @property
    def tail(self) -> int:
        """Bytes of a line that has not ended: on its way, or torn."""
        return len(self._rest)

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes | Bad]]:
        parts = (self._rest + data).split(b"\n")
        self._rest = parts.pop()
        for part in parts:
            at = self._at
            self._at += len(part) + 1
            if part:
                yield at, unframe(part)
