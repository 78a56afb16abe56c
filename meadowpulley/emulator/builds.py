"""What a release does to the machines that run it."""

from __future__ import annotations

from msgspec import Struct

from meadowpulley.fleet.model import Name, NotNegative, Positive, Share


class Build(Struct, frozen=True, forbid_unknown_fields=True):
    """A build and what is wrong with it, if anything. `speed` is times the fleet's own.

    `fails`: share of requests that end as errors, of class `fails_class` or of all. `slow`: times the work.
    Both hold only from `late_ms` after a machine's start, and only where more than `above_busy` of its slots
    are in use. `drag`: with all traffic on it every server, old and new, is so many times slower.
    """

    number: int
    speed: Positive = 1.0
    fails: Share = 0.0
    fails_class: Name | None = None
    slow: Positive = 1.0
    late_ms: NotNegative = 0.0
    above_busy: Share = 0.0
    drag: Positive = 1.0

    @property
    def bad(self) -> bool:
        return self.fails > 0 or self.slow >= 1.2 or self.drag >= 1.2

    def acts(self, age_ms: float, busy: float) -> bool:
        """Whether its fault shows on a machine of that age whose slots are `busy` in use."""
        return age_ms >= self.late_ms and busy >= self.above_busy

    def fail_share(self, cls: str) -> float:
        return self.fails if self.fails_class in (None, cls) else 0.0
