"""Digests of gossip for tests, from plain rows of numbers."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from meadowpulley.gossip.outcome_digest import ClassCounts, Digest, FailedResponse


def make_digest(
    incarnation: int,
    sequence: int,
    build: int,
    classes: Iterable[Sequence[int]] = (),
    failures: Iterable[Sequence[int]] = (),
) -> Digest:
    """Return a digest: rows of `ClassCounts` for the classes, of `FailedResponse` for the failures."""
    counts = tuple(ClassCounts(*row) for row in classes)
    return Digest(incarnation, sequence, build, counts, tuple(FailedResponse(*row) for row in failures))
