"""Exponential backoff between attempts to reach a failing service."""

from __future__ import annotations

from dataclasses import dataclass

MAX_DOUBLINGS = 10  # 2**10 exceeds every longest_ms / first_ms in use and is far from float overflow


@dataclass(frozen=True, slots=True)
class Backoff:
    """Computes delays in milliseconds that double with each consecutive failure, up to `longest_ms`.

    The delay after one failure is twice `first_ms`.
    """

    first_ms: float
    longest_ms: float

    def delay_ms(self, consecutive_failures: int) -> float:
        """Return the delay in ms before the next attempt, without jitter; 0 after no failure."""
        if consecutive_failures == 0:
            return 0.0
        doublings = min(consecutive_failures, MAX_DOUBLINGS)
        return min(self.first_ms * 2.0**doublings, self.longest_ms)
