"""Violations of the rules, as the checkers report them."""

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
NO_GATEWAY = -1  # in place of a gateway's number, where no single gateway caused a violation
MS_PER_SECOND = 1000.0
ReportViolation: TypeAlias = Callable[[RuleName, float, int, str], None]  # rule, time, gateway, text


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule, by a gateway or by NO_GATEWAY; `at` is in milliseconds."""

    rule: RuleName
    at: float
    gateway: int
    text: str

    def __str__(self) -> str:
        """Return the violation in one line."""
        origin = f" gateway {self.gateway}" if self.gateway >= 0 else ""
        return f"{self.at / MS_PER_SECOND:.3f} s{origin}: {self.rule}: {self.text}"
