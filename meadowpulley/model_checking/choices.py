"""Random draws as choice points: what the policy draws is explored, not sampled.

`ScriptedRandom` replaces the policy's random numbers. Each draw selects one of a few outcomes; a script
says which, and what lies beyond the script is the first outcome. Which outcomes stand for all:

- a number between 0 and 1 is compared with a threshold or rounded: its two ends;
- the order in which servers are examined decides only which two are compared: every pair of three;
- the tie-breaker between two servers: either may win, whatever their load.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import permutations
from typing import Any, TypeVar

from meadowpulley.model_checking.errors import ModelCheckingError

T = TypeVar("T")
UNIT_INTERVAL_ENDS = (0.0, 0.999999)
TIE_BREAKERS = (0.0, 10.0)


class ChoiceScriptError(ModelCheckingError):
    """A script that does not fit what the code draws."""


class ScriptedRandom:
    """`begin` with a script, let the code run, then read `made` (what was chosen) and `among` (of how
    many)."""

    def __init__(self) -> None:
        self.script: Sequence[int] = ()
        self.chosen: list[int] = []
        self.option_counts: list[int] = []
        self._second_tie_breaker: float | None = None

    def begin(self, script: Sequence[int]) -> None:
        """Start a run that follows the script."""
        self.script = script
        self.chosen = []
        self.option_counts = []
        self._second_tie_breaker = None

    def choose(self, option_count: int) -> int:
        """One of so many; with one there is nothing to choose."""
        if option_count <= 1:
            return 0
        position = len(self.chosen)
        value = self.script[position] if position < len(self.script) else 0
        if value >= option_count:
            raise ChoiceScriptError(f"draw {position + 1} is one of {option_count}, not number {value}")
        self.chosen.append(value)
        self.option_counts.append(option_count)
        return value

    # The part of random.Random that the policy uses

    def random(self) -> float:
        """Return one of the two ends of the unit interval."""
        return UNIT_INTERVAL_ENDS[self.choose(2)]

    def sample(self, population: Sequence[T], count: int) -> list[T]:
        """Return `count` of the population in one of the orders that lead to different decisions."""
        self._second_tie_breaker = None
        size = len(population)
        if size <= 2:
            return list(population)[:count] if count == size else [population[self.choose(size)]][:count]
        if size == 3 and count >= 2:  # the three turns show every pair
            rotation = self.choose(3)
            return [*population[rotation:], *population[:rotation]][:count]
        orders = list(permutations(range(size), count))
        return [population[index] for index in orders[self.choose(len(orders))]]

    def expovariate(self, lambd: float) -> float:
        """Drawn for two servers in turn: one draws little, the other much."""
        if self._second_tie_breaker is None:
            position = self.choose(2)
            self._second_tie_breaker = TIE_BREAKERS[1 - position]
            return TIE_BREAKERS[position]
        value = self._second_tie_breaker
        self._second_tie_breaker = None
        return value

    def __getattr__(self, name: str) -> Any:
        raise AttributeError(f"the decisions draw by '{name}', which is not explored: add it to Choices")


def alternatives(
    chosen: Sequence[int], option_counts: Sequence[int], scripted_count: int
) -> list[tuple[int, ...]]:
    """Scripts that differ from a run in the first choice that its script of `scripted` entries left open."""
    scripts = []
    for position in range(scripted_count, len(chosen)):
        scripts += [
            (*chosen[:position], other)
            for other in range(option_counts[position])
            if other != chosen[position]
        ]
    return scripts
