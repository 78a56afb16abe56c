"""Rendezvous hashing, by which each process computes alone which incarnation a key belongs to."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from meadowpulley.ledger.records import Incarnation

WEIGHT_BYTES = 8
RING_KEY = "ring"


def weight(key: str, incarnation: Incarnation) -> int:
    """Return the 64-bit weight of an incarnation for a key, the same in every process on every machine."""
    digest = blake2b(f"{key}\0{incarnation}".encode(), digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest)


def rendezvous_order(key: str, incarnations: Iterable[Incarnation]) -> list[Incarnation]:
    """Return the incarnations in order of their responsibility for a key, the responsible one first.

    If one incarnation is removed, the order of the others stays the same (Thaler and Ravishankar 1998). The
    keys of a lost gateway are therefore spread over all remaining ones, and no other key moves.
    """
    return sorted(incarnations, key=lambda incarnation: (-weight(key, incarnation), incarnation))


def ring_position(incarnation: Incarnation) -> int:
    """Return the position of an incarnation on the ring, where each incarnation watches its predecessors."""
    return weight(RING_KEY, incarnation)
