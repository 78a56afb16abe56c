"""Settings of the takeover stage."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class JournalScope(Enum):
    """Which request classes are journaled; the values are those of the setting."""

    NONE = "none"
    UNREPEATABLE = "unrepeatable"  # those that must not simply be sent again: all but the idempotent ones
    ALL = "all"


@dataclass(frozen=True, slots=True)
class TakeoverSettings:
    """Limits and time-outs of the takeover stage. Durations are milliseconds on the gateway's own clock.

    Attributes:
        journal_scope: which request classes are journaled.
        grant_timeout_ms: an attempt whose grant takes longer to commit is cancelled, and the policy chooses
            anew.
        response_hold_ms: how long a final response is held back, at most, until it is recorded.
        retry_delay_ms: pause before a write with an unknown outcome is repeated.
        claim_stagger_ms: each gateway in the ranking of an orphan claims it this much later than the one
            before.
        min_remaining_ms: an orphan with less slack than this is finished instead of adopted.
        clock_drift: largest relative difference in speed between two gateways' clocks.
        max_owners: how many gateways may have owned a request, the first one included.
        max_adopted: largest number of adopted requests in flight.
        adoptions_per_s: largest rate of adoptions.
        response_retention_ms: how long a finished record is kept for clients that repeat the request.
        response_cache_bytes: total size of the response bodies that this gateway keeps; the oldest go first.
        shutdown_release_ms: how long before SIGKILL the requests still in flight are released to other
            gateways.
    """

    journal_scope: JournalScope = JournalScope.UNREPEATABLE
    grant_timeout_ms: float = 100.0
    response_hold_ms: float = 300.0
    retry_delay_ms: float = 100.0
    claim_stagger_ms: float = 250.0
    min_remaining_ms: float = 20.0
    clock_drift: float = 0.001
    max_owners: int = 3
    max_adopted: int = 32
    adoptions_per_s: float = 50.0
    response_retention_ms: float = 60_000.0
    response_cache_bytes: int = 16 * 1024 * 1024
    shutdown_release_ms: float = 300.0
