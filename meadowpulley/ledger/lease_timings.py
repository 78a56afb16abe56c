"""The term of a lease, and the durations that are derived from it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """The term of a lease and related parameters; each fraction is a fraction of the term."""

    term_ms: float = 2000.0
    renewal_fraction: float = 0.2  # the interval between two renewals, as a fraction of the term
    # How long the holder acts on its lease after a successful renewal, from the start of that
    # renewal, as a fraction of the term.
    hold_fraction: float = 0.7
    max_clock_drift: float = 0.02  # the largest relative difference between the rates of two clocks
    watched_neighbours: int = 3  # the number of predecessors on the ring whose renewals each member watches
    # The extra delay, for each earlier member in the fencing order, before a member fences an expired one,
    # as a fraction of the term.
    fencing_backoff_fraction: float = 0.1

    @property
    def expiry_ms(self) -> float:
        """The time after an observed renewal at which a lease with this term has expired (ms)."""
        return self.expiry_of(self.term_ms)

    def expiry_of(self, term_ms: float) -> float:
        """Return the time after an observed renewal at which a lease of `term_ms` has expired (ms)."""
        return term_ms * (1.0 + self.max_clock_drift)
