"""The term of a lease, and the times that follow from it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """The term of a lease, and what follows from it; fractions are of the term."""

    term_ms: float = 2000.0
    renewal_fraction: float = 0.2  # between two renewals
    hold_fraction: float = 0.7  # for which the holder acts on a renewal, from when it started that renewal
    max_clock_drift: float = 0.02  # by which the lengths of two clocks' seconds differ at most
    watched_neighbours: int = 3  # how many predecessors on the ring each member watches
    fencing_backoff_fraction: float = 0.1  # by which each next member waits longer before it fences another

    @property
    def expiry_ms(self) -> float:
        """How long after a renewal was seen a lease with this term is expired."""
        return self.expiry_of(self.term_ms)

    def expiry_of(self, term_ms: float) -> float:
        """Return how long after a renewal was seen a lease with that term is expired (ms)."""
        return term_ms * (1.0 + self.max_clock_drift)
