"""Exponential backoff between attempts to reach a service that fails."""

from __future__ import annotations

from dataclasses import dataclass

MAX_DOUBLINGS = 10  # beyond any bound in use here, and far from the largest float


@dataclass(frozen=True, slots=True)
class Backoff:
    """Delays that double with each consecutive failure, between two bounds in milliseconds."""

    first_ms: float
    longest_ms: float

    def delay_ms(self, consecutive_failures: int) -> float:
        """Return the delay before the next attempt, without jitter; 0 while nothing has failed."""
        if consecutive_failures == 0:
            return 0.0
        doublings = min(consecutive_failures, MAX_DOUBLINGS)
        return min(self.first_ms * 2.0**doublings, self.longest_ms)
