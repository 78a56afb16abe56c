"""What a gateway tells the others of builds and servers: few bytes, lost or repeated without harm.

A digest counts what came back since the sender's last one: by class the good and failed answers of the newest
build and of the one before, and the servers, of any build, that failed. Bytes that are no whole digest of
this version give None, whatever they are. Nothing here decides.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

VERSION = 0xA1
MAX_BYTES = 256
MAX_COUNT = 255  # in one digest, of one class and kind
_HEAD = struct.Struct("!BIIIBB")  # version, life, number, build, classes, failures
_CLASS = struct.Struct("!BBBBB")  # class; good and failed answers of the new build, of the earlier one
_FAILURE = struct.Struct("!HB")  # server, class
MAX_FAILURES = 24
MAX_CLASSES = (MAX_BYTES - _HEAD.size - MAX_FAILURES * _FAILURE.size) // _CLASS.size  # what is left: 33
SERVER_MODULUS, WORD_MODULUS = 1 << 16, 1 << 32  # a server is told by its number modulo the first
TIMEOUT_CLASS = 255  # in place of a class: time-outs at warm servers


@dataclass(frozen=True, slots=True)
class Digest:
    """`life`: drawn anew at each start of the sender; `number`: rises by one with each digest of a life."""

    incarnation: int
    sequence: int
    build: int
    classes: tuple[tuple[int, int, int, int, int], ...] = ()  # class, new ok, new failed, old ok, old failed
    failures: tuple[tuple[int, int], ...] = ()  # server modulo SERVERS, class: one for each failed answer


def encode(digest: Digest) -> bytes:
    """At most MOST_BYTES. Left out: what is beyond MOST_COUNT, MOST_CLASSES and MOST_FAILED, and classes
    whose number takes more than a byte."""
    classes = [row for row in digest.classes if row[0] <= MAX_COUNT][:MAX_CLASSES]
    failures = [one for one in digest.failures if one[1] <= MAX_COUNT][:MAX_FAILURES]
    header = _HEAD.pack(
        VERSION,
        digest.incarnation,
        digest.sequence % WORD_MODULUS,
        digest.build % WORD_MODULUS,
        len(classes),
        len(failures),
    )
    parts = [
        _CLASS.pack(class_index, *(min(n, MAX_COUNT) for n in counts)) for class_index, *counts in classes
    ]
    parts += [_FAILURE.pack(server % SERVER_MODULUS, cls) for server, cls in failures]
    return header + b"".join(parts)


def decode(data: bytes) -> Digest | None:
    """The digest, or None for bytes that are none: cut short, too long, foreign or of another version."""
    if not _HEAD.size <= len(data) <= MAX_BYTES or data[0] != VERSION:
        return None
    _, incarnation, sequence, build, class_count, failure_count = _HEAD.unpack_from(data)
    offset = _HEAD.size
    end = offset + class_count * _CLASS.size
    if len(data) != end + failure_count * _FAILURE.size:
        return None
    rows = tuple(_CLASS.unpack_from(data, offset + n * _CLASS.size) for n in range(class_count))
    failures = tuple(_FAILURE.unpack_from(data, end + n * _FAILURE.size) for n in range(failure_count))
    return Digest(incarnation, sequence, build, rows, failures)
