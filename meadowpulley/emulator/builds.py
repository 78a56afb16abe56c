"""Effect of a build on the machines that run it."""

from __future__ import annotations

from msgspec import Struct, field

from meadowpulley.fleet.model import Name, NotNegative, Positive, Share

FAULTY_SLOWDOWN = 1.2  # from this factor on a build counts as faulty


class Build(Struct, frozen=True, forbid_unknown_fields=True):
    """A build and its faults, if it has any. `speed` multiplies the machine's speed.

    `failure_share` is the share of requests that end as errors, of class `failing_class` or of every class.
    `work_factor` multiplies the work of a request. Both apply only from `fault_delay_ms` after the start of
    a machine, and only while more than `fault_utilisation` of its slots are in use. With all traffic on the
    build, every server of the fleet is `shared_slowdown` times slower.
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
        """Whether the build fails requests or is at least 20% slower than it should be."""
        slowed = max(self.work_factor, self.shared_slowdown) >= FAULTY_SLOWDOWN
        return self.failure_share > 0 or slowed

    def fault_active(self, age_ms: float, utilisation: float) -> bool:
        """Return whether the fault shows at an age (ms) with this share of slots in use."""
        return age_ms >= self.fault_delay_ms and utilisation >= self.fault_utilisation

    def failure_share_of(self, class_name: str) -> float:
        """Return the share of requests of a class that fail."""
        return self.failure_share if self.failing_class in (None, class_name) else 0.0
