"""Digests: the gossip messages of gateways on builds and servers, in a few bytes.

A digest counts the responses since the sender's last one: by class the good and failed ones of the newest
build and of its baseline, and the servers of any build that failed. It may be lost or repeated without harm.
Nothing here decides.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple

VERSION = 0xA1
MAX_BYTES = 256
MAX_COUNT = 255  # in one digest, of one class and kind
_HEAD = struct.Struct("!BIIIBB")  # version, incarnation, sequence, build, classes, failures
_CLASS = struct.Struct("!BBBBB")  # class; good and failed responses of the newest build, of its baseline
_FAILURE = struct.Struct("!HB")  # server, class
MAX_FAILURES = 24
# 33: what the other parts leave.
MAX_CLASSES = (MAX_BYTES - _HEAD.size - MAX_FAILURES * _FAILURE.size) // _CLASS.size
SERVER_MODULUS = 1 << 16  # servers are numbered modulo this
WORD_MODULUS = 1 << 32
TIMEOUT_CLASS = 255  # in place of a class: time-outs at warmed-up servers


class ClassCounts(NamedTuple):
    """Responses of one class: of the newest build and of its baseline."""

    class_index: int
    succeeded: int
    failed: int
    baseline_succeeded: int
    baseline_failed: int


class FailedResponse(NamedTuple):
    """One failed response."""

    server: int  # modulo SERVER_MODULUS
    class_index: int


@dataclass(frozen=True, slots=True)
class Digest:
    """One digest. Each start of the sender draws a new incarnation; within it the sequence rises by one."""

    incarnation: int
    sequence: int
    build: int
    classes: tuple[ClassCounts, ...] = ()
    failures: tuple[FailedResponse, ...] = ()


def encode(digest: Digest) -> bytes:
    """Return the bytes of a digest, MAX_BYTES at most.

    Left out is what exceeds MAX_COUNT, MAX_CLASSES and MAX_FAILURES, and classes whose number needs more
    than a byte.
    """
    classes = [counts for counts in digest.classes if counts.class_index <= MAX_COUNT][:MAX_CLASSES]
    failures = [failure for failure in digest.failures if failure.class_index <= MAX_COUNT][:MAX_FAILURES]
    header = _HEAD.pack(
        VERSION,
        digest.incarnation,
        digest.sequence % WORD_MODULUS,
        digest.build % WORD_MODULUS,
        len(classes),
        len(failures),
    )
    parts = [_encode_class(counts) for counts in classes]
    parts += [_FAILURE.pack(failure.server % SERVER_MODULUS, failure.class_index) for failure in failures]
    return header + b"".join(parts)


def _encode_class(counts: ClassCounts) -> bytes:
    return _CLASS.pack(
        counts.class_index,
        min(counts.succeeded, MAX_COUNT),
        min(counts.failed, MAX_COUNT),
        min(counts.baseline_succeeded, MAX_COUNT),
        min(counts.baseline_failed, MAX_COUNT),
    )


def decode(data: bytes) -> Digest | None:
    """Return the digest, or None for other bytes: cut short, too long, foreign or of another version."""
    if not _HEAD.size <= len(data) <= MAX_BYTES or data[0] != VERSION:
        return None
    _, incarnation, sequence, build, class_count, failure_count = _HEAD.unpack_from(data)
    offset = _HEAD.size
    end = offset + class_count * _CLASS.size
    if len(data) != end + failure_count * _FAILURE.size:
        return None
    classes = [ClassCounts(*_CLASS.unpack_from(data, offset + n * _CLASS.size)) for n in range(class_count)]
    failures = [
        FailedResponse(*_FAILURE.unpack_from(data, end + n * _FAILURE.size)) for n in range(failure_count)
    ]
    return Digest(incarnation, sequence, build, tuple(classes), tuple(failures))
