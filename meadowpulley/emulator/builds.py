"""What a release does to the machines that run it."""

from __future__ import annotations

from msgspec import Struct, field

from meadowpulley.fleet.model import Name, NotNegative, Positive, Share


class Build(Struct, frozen=True, forbid_unknown_fields=True):
    """A build and what is wrong with it, if anything. `speed` is times the fleet's own.

    `fails`: share of requests that end as errors, of class `fails_class` or of all. `slow`: times the work.
    Both hold only from `late_ms` after a machine's start, and only where more than `above_busy` of its slots
    are in use. `drag`: with all traffic on it every server, old and new, is so many times slower.
    """

    number: int
    speed: Positive = 1.0
    failure_share: Share = field(default=0.0, name="fails")
    failing_class: Name | None = field(default=None, name="fails_class")
    work_factor: Positive = field(default=1.0, name="slow")
    fault_delay_ms: NotNegative = field(default=0.0, name="late_ms")
    fault_utilisation: Share = field(default=0.0, name="above_busy")
    shared_slowdown: Positive = field(default=1.0, name="drag")

    @property
    def faulty(self) -> bool:
        return self.failure_share > 0 or self.work_factor >= 1.2 or self.shared_slowdown >= 1.2

    def fault_active(self, age_ms: float, utilisation: float) -> bool:
        """Whether its fault shows on a machine of that age whose slots are `busy` in use."""
        return age_ms >= self.fault_delay_ms and utilisation >= self.fault_utilisation

    def failure_share_of(self, class_name: str) -> float:
        return self.failure_share if self.failing_class in (None, class_name) else 0.0
