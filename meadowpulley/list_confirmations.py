"""Messages between gateways that confirm endpoint lists, in a few bytes each.

A gateway asks with a nonce whether its list is still what discovery says. One that has asked discovery not
long ago replies with how long ago that was, and with a checksum of each part of its list. Where a part has
the same checksum at both, what the asking gateway knows of its servers was true at that time. The age counts
from when the question was asked at the latest, however long the reply is under way, and a message that is
lost, late or repeated confirms nothing that is not so. Nothing here decides.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

QUERY_VERSION, REPLY_VERSION = 0xA2, 0xA3
PART_COUNT = 60  # of a list, by the numbers of the servers: as many checksums as fit into a datagram
MAX_AGE_MS = (1 << 16) - 1
_QUERY = struct.Struct("!BI")  # version, nonce
_REPLY = struct.Struct(f"!BIH{PART_COUNT}I")  # version, nonce, age in ms, checksums; 247 bytes
_SERVER = struct.Struct("!Iqd")  # number, build, Unix time of its start in ms


@dataclass(frozen=True, slots=True)
class ListQuery:
    """Asks another gateway what its list is. The nonce tells replies to different questions apart."""

    nonce: int


@dataclass(frozen=True, slots=True)
class ListReply:
    """Says that a list with these checksums held all changes up to `age_ms` before the reply was made."""

    nonce: int
    age_ms: float
    checksums: tuple[int, ...]  # PART_COUNT of them


@dataclass(frozen=True, slots=True, order=True)
class ListedServer:
    """What a checksum covers of a ready server: its number, and which incarnation it is."""

    number: int
    build: int
    started_unix_ms: float


def part_of(server: int) -> int:
    """Return the part of the list that a server belongs to, the same at every gateway."""
    return server % PART_COUNT


def checksums_of(servers: Iterable[ListedServer]) -> tuple[int, ...]:
    """Return the checksum of each part of a list, given its ready servers."""
    checksums = [0] * PART_COUNT
    for server in sorted(servers):
        part = part_of(server.number)
        packed = _SERVER.pack(server.number % (1 << 32), server.build, server.started_unix_ms)
        checksums[part] = zlib.crc32(packed, checksums[part])
    return tuple(checksums)


def encode(message: ListQuery | ListReply) -> bytes:
    """Return the bytes of a message, 247 at most. An age beyond MAX_AGE_MS is cut to it."""
    if isinstance(message, ListQuery):
        return _QUERY.pack(QUERY_VERSION, message.nonce)
    age_ms = min(int(message.age_ms) + 1, MAX_AGE_MS)  # rounded up: a reply never claims to be newer
    return _REPLY.pack(REPLY_VERSION, message.nonce, age_ms, *message.checksums)


def decode(data: bytes) -> ListQuery | ListReply | None:
    """Return the message, or None for other bytes: cut short, too long, foreign or of another version."""
    if len(data) == _QUERY.size and data[0] == QUERY_VERSION:
        return ListQuery(_QUERY.unpack(data)[1])
    if len(data) == _REPLY.size and data[0] == REPLY_VERSION:
        _, nonce, age_ms, *checksums = _REPLY.unpack(data)
        return ListReply(nonce, float(age_ms), tuple(checksums))
    return None
