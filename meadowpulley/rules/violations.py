"""Violations of the rules, as the checkers report them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

RuleName = Literal[
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
ReportViolation = Callable[[RuleName, float, int, str], None]  # rule, time, gateway, text


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule; `gateway` is -1 where no single gateway caused it."""

    rule: RuleName
    at: float
    gateway: int
    text: str

    def __str__(self) -> str:
        origin = f" gateway {self.gateway}" if self.gateway >= 0 else ""
        return f"{self.at / 1000:.3f} s{origin}: {self.rule}: {self.text}"
