"""Counters of what the gateway receives, forwards and answers."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts by name. A name appears once something was counted under it."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the count of a name."""
        self._counts[name] += amount

    def __getitem__(self, name: str) -> int:
        """Return the count under a name; 0 where nothing was counted."""
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        """Return a copy of all counts, sorted by name."""
        return dict(sorted(self._counts.items()))
