"""Event counters of the gateway."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counters by name. A counter exists once it has been incremented."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self._counts[name] += amount

    def __getitem__(self, name: str) -> int:
        """Return the value of the counter `name`, or 0 if it doesn't exist."""
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        """Return a copy of all counters, sorted by name."""
        return dict(sorted(self._counts.items()))
