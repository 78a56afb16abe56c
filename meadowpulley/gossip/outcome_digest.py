"""Encoding of digests: the gossip messages in which gateways report outcomes by build and server.

A digest covers the responses since the sender's previous digest. For each class, the digest counts the
successful and failed responses of the newest build and of its baseline. The digest also lists the failed
responses of all builds, each with its server. A digest may be lost or repeated without harm.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple

VERSION = 0xA1
MAX_BYTES = 256
MAX_COUNT = 255  # highest count, or class number, that fits into a byte
_HEAD = struct.Struct("!BIIIBB")  # version, incarnation, sequence number, build, class count, failure count
_CLASS = struct.Struct("!BBBBB")  # class; successes and failures of the newest build, then of its baseline
_FAILURE = struct.Struct("!HB")  # server number, class number
MAX_FAILURES = 24
# 33 classes: as many as fit into the bytes that the header and MAX_FAILURES failures leave.
MAX_CLASSES = (MAX_BYTES - _HEAD.size - MAX_FAILURES * _FAILURE.size) // _CLASS.size
SERVER_MODULUS = 1 << 16  # digests carry server numbers modulo this number
WORD_MODULUS = 1 << 32
TIMEOUT_CLASS = 255  # class number under which digests count time-outs at warmed-up servers


class ClassCounts(NamedTuple):
    """Counts of responses of one class, from the newest build and from its baseline."""

    class_index: int
    succeeded: int
    failed: int
    baseline_succeeded: int
    baseline_failed: int


class FailedResponse(NamedTuple):
    """The server and the class of one failed response."""

    server: int  # server number modulo SERVER_MODULUS
    class_index: int


@dataclass(frozen=True, slots=True)
class Digest:
    """The outcomes that one gateway reports to the others in one message.

    A gateway draws a new `incarnation` at each start; within an incarnation, `sequence` rises by one with
    each digest.
    """

    incarnation: int
    sequence: int
    build: int
    classes: tuple[ClassCounts, ...] = ()
    failures: tuple[FailedResponse, ...] = ()


def encode(digest: Digest) -> bytes:
    """Encode a digest into at most MAX_BYTES.

    Counts are capped at MAX_COUNT. Classes whose number does not fit into a byte are left out, and so are
    their failures. Of the remaining data, the first MAX_CLASSES classes and the first MAX_FAILURES failures
    are kept.
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
    """Decode a digest; return None for other data, and for a digest of a wrong size or version."""
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
