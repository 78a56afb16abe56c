"""Who of several lives is the one for a key, found by each of them alone: hashing, no word exchanged."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from meadowpulley.ledger.model import Life


def weight(key: str, life: Life) -> int:
    """64 bits that say how near a life is to a key; equal at every process and on every machine."""
    return int.from_bytes(blake2b(f"{key}\0{life}".encode(), digest_size=8).digest())


def choose(key: str, members: Iterable[Life]) -> list[Life]:
    """The lives in the order in which they are the ones for that key (rendezvous hashing, Thaler and
    Ravishankar 1998): without one of them the order of the others stays, so that a lost gateway's keys are
    spread over all that are left and no other key moves."""
    return sorted(members, key=lambda life: (-weight(key, life), life))


def place(life: Life) -> int:
    """Where a life stands on the ring on which each watches over those before it."""
    return weight("ring", life)
