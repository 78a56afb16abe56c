"""Encoding of the messages by which gateways confirm servers of the endpoint list to each other.

A gateway sends a query with a nonce to ask which servers discovery lists. A gateway with a recent list
replies with the age of that list and with fingerprints of ready servers, as many as a datagram holds. If a
fingerprint matches a server that the asking gateway knows, then discovery listed that server unchanged at
the time of the list. The asking gateway computes that time by subtracting the age from the time of its
query, so a slow reply never makes a list look newer than it is, and a message that is lost, late or repeated
confirms nothing false.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

QUERY_VERSION = 0xA2
REPLY_VERSION = 0xA3
MAX_BYTES = 256  # maximum size of a datagram in bytes
MAX_AGE_MS = (1 << 16) - 1
WORD_MODULUS = 1 << 32
_QUERY = struct.Struct("!BII")  # version, nonce, first server number
_REPLY = struct.Struct("!BIHB")  # version, nonce, list age in ms, number of fingerprints
_FINGERPRINT = struct.Struct("!I")
MAX_FINGERPRINTS = (MAX_BYTES - _REPLY.size) // _FINGERPRINT.size  # 62 fingerprints fit into a datagram
_SERVER = struct.Struct("!Iqd")  # server number, build, Unix time of the start in ms


@dataclass(frozen=True, slots=True)
class ListQuery:
    """Asks which ready servers discovery lists, in order of their numbers, starting at `first_server`.

    The nonce tells which query a reply belongs to.
    """

    nonce: int
    first_server: int


@dataclass(frozen=True, slots=True)
class ListReply:
    """Holds fingerprints of servers that were listed as ready `age_ms` before the reply was created."""

    nonce: int
    age_ms: float
    fingerprints: tuple[int, ...]


def fingerprint(server: int, build: int, started_unix_ms: float) -> int:
    """Return a 32-bit checksum that identifies one run of a server, the same at every gateway."""
    return zlib.crc32(_SERVER.pack(server % WORD_MODULUS, build, started_unix_ms))


def encode(message: ListQuery | ListReply) -> bytes:
    """Encode a message into at most MAX_BYTES.

    The age is rounded up and capped at MAX_AGE_MS; fingerprints beyond MAX_FINGERPRINTS are left out.
    """
    if isinstance(message, ListQuery):
        return _QUERY.pack(QUERY_VERSION, message.nonce, message.first_server % WORD_MODULUS)
    age_ms = min(int(message.age_ms) + 1, MAX_AGE_MS)  # rounded up, so that no list looks newer than it is
    words = message.fingerprints[:MAX_FINGERPRINTS]
    head = _REPLY.pack(REPLY_VERSION, message.nonce, age_ms, len(words))
    return head + b"".join([_FINGERPRINT.pack(word) for word in words])


def decode(data: bytes) -> ListQuery | ListReply | None:
    """Decode a message; return None for other data, and for a message of a wrong size or version."""
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
