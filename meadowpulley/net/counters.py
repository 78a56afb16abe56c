"""Counters of what the gateway takes in, sends and answers."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts by name; a name shows up once something was counted under it."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        self._counts[name] += amount

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        return dict(sorted(self._counts.items()))
