"""Messages between gateways that confirm servers of the endpoint list, in a few bytes each.

A gateway asks with a nonce what discovery lists. One that has asked discovery not long ago replies with how
long ago that was, and with fingerprints of ready servers, as many as fit. What the asking gateway knows of a
server whose fingerprint is among them was true at that time. The age counts from when the question was asked
at the earliest, however long the reply is under way, and a message that is lost, late or repeated confirms
nothing that is not so. Nothing here decides.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

QUERY_VERSION = 0xA2
REPLY_VERSION = 0xA3
MAX_BYTES = 256  # of a datagram
MAX_AGE_MS = (1 << 16) - 1
WORD_MODULUS = 1 << 32
_QUERY = struct.Struct("!BII")  # version, nonce, number of a server
_REPLY = struct.Struct("!BIHB")  # version, nonce, age in ms, count of fingerprints
_FINGERPRINT = struct.Struct("!I")
MAX_FINGERPRINTS = (MAX_BYTES - _REPLY.size) // _FINGERPRINT.size  # 62
_SERVER = struct.Struct("!Iqd")  # number, build, Unix time of its start in ms


@dataclass(frozen=True, slots=True)
class ListQuery:
    """Asks which ready servers discovery lists, in the order of their numbers, from one number on.

    The nonce tells replies to different questions apart.
    """

    nonce: int
    first_server: int


@dataclass(frozen=True, slots=True)
class ListReply:
    """Names servers that were listed as ready `age_ms` before the reply was made."""

    nonce: int
    age_ms: float
    fingerprints: tuple[int, ...]


def fingerprint(server: int, build: int, started_unix_ms: float) -> int:
    """Return 32 bits that stand for one incarnation of a server, the same at every gateway."""
    return zlib.crc32(_SERVER.pack(server % WORD_MODULUS, build, started_unix_ms))


def encode(message: ListQuery | ListReply) -> bytes:
    """Return the bytes of a message, MAX_BYTES at most.

    An age is rounded up, and cut to MAX_AGE_MS; fingerprints beyond MAX_FINGERPRINTS are left out.
    """
    if isinstance(message, ListQuery):
        return _QUERY.pack(QUERY_VERSION, message.nonce, message.first_server % WORD_MODULUS)
    age_ms = min(int(message.age_ms) + 1, MAX_AGE_MS)  # a reply never claims to be newer than it is
    words = message.fingerprints[:MAX_FINGERPRINTS]
    head = _REPLY.pack(REPLY_VERSION, message.nonce, age_ms, len(words))
    return head + b"".join([_FINGERPRINT.pack(word) for word in words])


def decode(data: bytes) -> ListQuery | ListReply | None:
    """Return the message, or None for other bytes: cut short, too long, foreign or of another version."""
    if len(data) == _QUERY.size and data[0] == QUERY_VERSION:
        _, nonce, first_server = _QUERY.unpack(data)
        return ListQuery(nonce, first_server)
    if not _REPLY.size <= len(data) <= MAX_BYTES or data[0] != REPLY_VERSION:
        return None
    _, nonce, age_ms, count = _REPLY.unpack_from(data)
    if len(data) != _REPLY.size + count * _FINGERPRINT.size:
        return None
    words = tuple(word for (word,) in _FINGERPRINT.iter_unpack(data[_REPLY.size :]))
    return ListReply(nonce, float(age_ms), words)
