"""Digests: the gossip messages of gateways on builds and servers, in a few bytes.

A digest counts the responses since the sender's last one: by class the good and failed ones of the newest
build and of its baseline, and the servers of any build that failed. It may be lost or repeated without harm.
Nothing here decides.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

VERSION = 0xA1
MAX_BYTES = 256
MAX_COUNT = 255  # in one digest, of one class and kind
_HEAD = struct.Struct("!BIIIBB")  # version, incarnation, sequence, build, classes, failures
_CLASS = struct.Struct("!BBBBB")  # class; good and failed responses of the newest build, of its baseline
_FAILURE = struct.Struct("!HB")  # server, class
MAX_FAILURES = 24
MAX_CLASSES = (
    MAX_BYTES - _HEAD.size - MAX_FAILURES * _FAILURE.size
) // _CLASS.size  # 33: what the other parts leave
SERVER_MODULUS, WORD_MODULUS = 1 << 16, 1 << 32  # servers are numbered modulo the first
TIMEOUT_CLASS = 255  # in place of a class: time-outs at warmed-up servers


@dataclass(frozen=True, slots=True)
class Digest:
    """One digest. Each start of the sender draws a new incarnation; within it the sequence rises by one."""

    incarnation: int
    sequence: int
    build: int
    classes: tuple[tuple[int, int, int, int, int], ...] = ()  # class; succeeded, failed; the baseline's
    failures: tuple[tuple[int, int], ...] = ()  # server modulo SERVER_MODULUS, class: one per failure


def encode(digest: Digest) -> bytes:
    """Return the bytes of a digest, MAX_BYTES at most.

    Left out is what exceeds MAX_COUNT, MAX_CLASSES and MAX_FAILURES, and classes whose number needs more
    than a byte.
    """
    classes = [row for row in digest.classes if row[0] <= MAX_COUNT][:MAX_CLASSES]
    failures = [failure for failure in digest.failures if failure[1] <= MAX_COUNT][:MAX_FAILURES]
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
    parts += [_FAILURE.pack(server % SERVER_MODULUS, class_index) for server, class_index in failures]
    return header + b"".join(parts)


def decode(data: bytes) -> Digest | None:
    """Return the digest, or None for other bytes: cut short, too long, foreign or of another version."""
    if not _HEAD.size <= len(data) <= MAX_BYTES or data[0] != VERSION:
        return None
    _, incarnation, sequence, build, class_count, failure_count = _HEAD.unpack_from(data)
    offset = _HEAD.size
    end = offset + class_count * _CLASS.size
    if len(data) != end + failure_count * _FAILURE.size:
        return None
    classes = tuple(_CLASS.unpack_from(data, offset + n * _CLASS.size) for n in range(class_count))
    failures = tuple(_FAILURE.unpack_from(data, end + n * _FAILURE.size) for n in range(failure_count))
    return Digest(incarnation, sequence, build, classes, failures)
