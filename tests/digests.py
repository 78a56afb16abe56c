"""Helpers for tests: build gossip digests from rows of numbers."""

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
    """Return a digest; rows hold the fields of `ClassCounts` and of `FailedResponse`, in order."""
    counts = tuple(ClassCounts(*row) for row in classes)
    return Digest(incarnation, sequence, build, counts, tuple(FailedResponse(*row) for row in failures))
