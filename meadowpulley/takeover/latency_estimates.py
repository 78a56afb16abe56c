"""How long an attempt of each request class usually takes."""

from __future__ import annotations

from dataclasses import dataclass, field

LATENCY_EWMA_WEIGHT = 0.1  # of the newest attempt


@dataclass(slots=True)
class LatencyEstimates:
    """Averages over good attempts, by the name of the class, exponentially weighted."""

    by_class_ms: dict[str, float] = field(default_factory=dict)

    def record(self, class_name: str, elapsed_ms: float) -> None:
        """Count one good attempt."""
        previous_ms = self.by_class_ms.setdefault(class_name, elapsed_ms)
        self.by_class_ms[class_name] += LATENCY_EWMA_WEIGHT * (elapsed_ms - previous_ms)

    def typical_ms(self, class_name: str) -> float:
        """Return how long an attempt of this class usually takes; 0 while that is not known."""
        return self.by_class_ms.get(class_name, 0.0)
