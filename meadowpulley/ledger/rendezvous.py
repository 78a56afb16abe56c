"""Who of several lives is the one for a key, found by each of them alone: hashing, no word exchanged."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from meadowpulley.ledger.model import Incarnation


def weight(key: str, incarnation: Incarnation) -> int:
    """64 bits that say how near a life is to a key; equal at every process and on every machine."""
    return int.from_bytes(blake2b(f"{key}\0{incarnation}".encode(), digest_size=8).digest())


def rendezvous_order(key: str, incarnations: Iterable[Incarnation]) -> list[Incarnation]:
    """The lives in the order in which they are the ones for that key (rendezvous hashing, Thaler and
    Ravishankar 1998): without one of them the order of the others stays, so that a lost gateway's keys are
    spread over all that are left and no other key moves."""
    return sorted(incarnations, key=lambda life: (-weight(key, life), life))


def ring_position(incarnation: Incarnation) -> int:
    """Where a life stands on the ring on which each watches over those before it."""
    return weight("ring", incarnation)
