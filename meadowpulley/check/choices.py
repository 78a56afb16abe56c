"""Chance as a choice point: what the decisions draw is explored, not sampled.

`Choices` stands in the place of the balancer's random numbers. Each draw asks for one of a few outcomes;
a script says which, and what lies beyond the script is the first outcome. Which outcomes stand for all:

- a number between 0 and 1 is compared with a threshold or rounded: its two ends;
- the order in which servers are looked at decides only which two are compared: every pair of three;
- the tie-breaker between two servers: either may win, whatever the two hold.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import permutations
from typing import Any, TypeVar

T = TypeVar("T")
ENDS = (0.0, 0.999999)
TIES = (0.0, 10.0)


class ScriptError(Exception):
    """A script that does not fit what the code draws."""


class Choices:
    """`begin` with a script, let the code run, then read `made` (what was chosen) and `among` (of how
    many)."""

    def __init__(self) -> None:
        self.script: Sequence[int] = ()
        self.made: list[int] = []
        self.among: list[int] = []
        self._other: float | None = None

    def begin(self, script: Sequence[int]) -> None:
        self.script, self.made, self.among, self._other = script, [], [], None

    def choose(self, many: int) -> int:
        """One of so many; with one there is nothing to choose."""
        if many <= 1:
            return 0
        at = len(self.made)
        value = self.script[at] if at < len(self.script) else 0
        if value >= many:
            raise ScriptError(f"draw {at + 1} is one of {many}, not number {value}")
        self.made.append(value)
        self.among.append(many)
        return value

    # The part of random.Random that the decisions use

    def random(self) -> float:
        return ENDS[self.choose(2)]

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        self._other = None
        n = len(population)
        if n <= 2:
            return list(population)[:k] if k == n else [population[self.choose(n)]][:k]
        if n == 3 and k >= 2:  # the three turns show every pair
            turn = self.choose(3)
            return [*population[turn:], *population[:turn]][:k]
        orders = list(permutations(range(n), k))
        return [population[j] for j in orders[self.choose(len(orders))]]

    def expovariate(self, lambd: float) -> float:
        """Drawn for two servers in turn: one draws little, the other much."""
        if self._other is None:
            at = self.choose(2)
            self._other = TIES[1 - at]
            return TIES[at]
        value, self._other = self._other, None
        return value

    def __getattr__(self, name: str) -> Any:
        raise AttributeError(f"the decisions draw by '{name}', which is not explored: add it to Choices")


def alternatives(made: Sequence[int], among: Sequence[int], scripted: int) -> list[tuple[int, ...]]:
    """Scripts that differ from a run in the first choice that its script of `scripted` entries left open."""
    found = []
    for at in range(scripted, len(made)):
        found += [(*made[:at], other) for other in range(among[at]) if other != made[at]]
    return found
