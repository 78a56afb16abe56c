"""Estimates the typical duration of an attempt of each request class."""

from __future__ import annotations

from dataclasses import dataclass, field

LATENCY_EWMA_WEIGHT = 0.1  # weight of the newest attempt in the moving average


@dataclass(slots=True)
class LatencyEstimates:
    """Keeps an exponentially weighted average duration of the successful attempts of each class."""

    by_class_ms: dict[str, float] = field(default_factory=dict)

    def record(self, class_name: str, elapsed_ms: float) -> None:
        """Add the duration of one successful attempt to the average of its class."""
        previous_ms = self.by_class_ms.setdefault(class_name, elapsed_ms)
        self.by_class_ms[class_name] += LATENCY_EWMA_WEIGHT * (elapsed_ms - previous_ms)

    def typical_ms(self, class_name: str) -> float:
        """Return the average duration in ms of an attempt of this class; 0 if none has been recorded."""
        return self.by_class_ms.get(class_name, 0.0)
