"""What a gateway tells the others of the newest build: few bytes, lost or repeated without harm.

A digest counts what came back since the sender's last one: by class the good and failed answers of the newest
build and of the one before, and the servers of the newest that failed. Bytes that are no whole digest of this
version give None, whatever they are. Nothing here decides.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

VERSION = 0xA1
MOST_BYTES = 256
MOST_COUNT = 255  # in one digest, of one class and kind
_HEAD = struct.Struct("!BIHIBB")  # version, life, number, build, classes, failures
_CLASS = struct.Struct("!BBBBB")  # class; good and failed answers of the new build, of the earlier one
_FAILED = struct.Struct("!HB")  # server, class
MOST_FAILED = 24


@dataclass(frozen=True, slots=True)
class Digest:
    """`life`: drawn anew at each start of the sender; `number`: rises by one with each digest of a life."""

    life: int
    number: int
    build: int
    classes: tuple[tuple[int, int, int, int, int], ...] = ()  # class, new ok, new failed, old ok, old failed
    failed: tuple[
        tuple[int, int], ...
    ] = ()  # (server modulo 65,536, class) for each failed answer of the new build


def encode(d: Digest) -> bytes:
    """At most MOST_BYTES; counts beyond MOST_COUNT and failures beyond MOST_FAILED are left out."""
    classes, failed = d.classes[:8], d.failed[:MOST_FAILED]
    head = _HEAD.pack(VERSION, d.life, d.number % 65536, d.build, len(classes), len(failed))
    parts = [_CLASS.pack(cls, *(min(n, MOST_COUNT) for n in counts)) for cls, *counts in classes]
    parts += [_FAILED.pack(server % 65536, cls) for server, cls in failed]
    return head + b"".join(parts)


def decode(data: bytes) -> Digest | None:
    """The digest, or None for bytes that are none: cut short, too long, foreign or of another version."""
    if not _HEAD.size <= len(data) <= MOST_BYTES or data[0] != VERSION:
        return None
    _, life, number, build, classes, failed = _HEAD.unpack_from(data)
    at = _HEAD.size
    end = at + classes * _CLASS.size
    if len(data) != end + failed * _FAILED.size:
        return None
    rows = tuple(_CLASS.unpack_from(data, at + n * _CLASS.size) for n in range(classes))
    servers = tuple(_FAILED.unpack_from(data, end + n * _FAILED.size) for n in range(failed))
    return Digest(life, number, build, rows, servers)
