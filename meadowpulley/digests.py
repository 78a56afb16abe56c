"""What a gateway tells the others of builds and servers: few bytes, lost or repeated without harm.

A digest counts what came back since the sender's last one: by class the good and failed answers of the newest
build and of the one before, and the servers, of any build, that failed. Bytes that are no whole digest of
this version give None, whatever they are. Nothing here decides.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

VERSION = 0xA1
MOST_BYTES = 256
MOST_COUNT = 255  # in one digest, of one class and kind
_HEAD = struct.Struct("!BIIIBB")  # version, life, number, build, classes, failures
_CLASS = struct.Struct("!BBBBB")  # class; good and failed answers of the new build, of the earlier one
_FAILED = struct.Struct("!HB")  # server, class
MOST_FAILED = 24
MOST_CLASSES = (MOST_BYTES - _HEAD.size - MOST_FAILED * _FAILED.size) // _CLASS.size  # what is left: 33
SERVERS, WORD = 1 << 16, 1 << 32  # a server is told by its number modulo the first
LOST = 255  # in place of a class: time-outs at warm servers


@dataclass(frozen=True, slots=True)
class Digest:
    """`life`: drawn anew at each start of the sender; `number`: rises by one with each digest of a life."""

    life: int
    number: int
    build: int
    classes: tuple[tuple[int, int, int, int, int], ...] = ()  # class, new ok, new failed, old ok, old failed
    failed: tuple[tuple[int, int], ...] = ()  # server modulo SERVERS, class: one for each failed answer


def encode(d: Digest) -> bytes:
    """At most MOST_BYTES. Left out: what is beyond MOST_COUNT, MOST_CLASSES and MOST_FAILED, and classes
    whose number takes more than a byte."""
    classes = [row for row in d.classes if row[0] <= MOST_COUNT][:MOST_CLASSES]
    failed = [one for one in d.failed if one[1] <= MOST_COUNT][:MOST_FAILED]
    head = _HEAD.pack(VERSION, d.life, d.number % WORD, d.build % WORD, len(classes), len(failed))
    parts = [_CLASS.pack(cls, *(min(n, MOST_COUNT) for n in counts)) for cls, *counts in classes]
    parts += [_FAILED.pack(server % SERVERS, cls) for server, cls in failed]
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
