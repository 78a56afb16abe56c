"""Violations of the rules, in the form in which the checkers report them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal, TypeAlias

RuleName: TypeAlias = Literal[
    "answers",
    "effects",
    "drains",
    "cold",
    "exposure",
    "one-way",
    "takeover",
    "written",
    "admissions",
    "counts",
]
NO_GATEWAY = -1  # gateway number of a violation or attempt that belongs to no single gateway
MS_PER_SECOND = 1000.0
# A function that reports a violation, given the rule, the time (ms), the gateway and the text.
ReportViolation: TypeAlias = Callable[[RuleName, float, int, str], None]


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule, with its gateway or NO_GATEWAY; `at` is the time in milliseconds."""

    rule: RuleName
    at: float
    gateway: int
    text: str

    def __str__(self) -> str:
        """Return the violation as one line of text."""
        origin = f" gateway {self.gateway}" if self.gateway >= 0 else ""
        return f"{self.at / MS_PER_SECOND:.3f} s{origin}: {self.rule}: {self.text}"
