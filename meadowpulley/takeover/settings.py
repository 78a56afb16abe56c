"""Settings of the takeover stage."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class JournalScope(Enum):
    """Which request classes are journaled; the values are the texts that the setting accepts."""

    NONE = "none"
    UNREPEATABLE = "unrepeatable"  # all classes except the idempotent ones, which are safe to send again
    ALL = "all"


@dataclass(frozen=True, slots=True)
class TakeoverSettings:
    """Limits and timeouts of the takeover stage. Durations are in ms on the gateway's own clock.

    Attributes:
        journal_scope: which request classes are journaled.
        grant_timeout_ms: an attempt is cancelled if committing its grant takes longer than this; the policy
            then decides again.
        response_hold_ms: the maximum time for which a final response is held until it is recorded.
        retry_delay_ms: the delay before a read or write with an unknown outcome is repeated.
        claim_stagger_ms: each gateway in the ranking of an orphan waits this much longer than the previous
            one before it claims the orphan.
        min_remaining_ms: an orphan with less slack than this is finished instead of adopted.
        clock_drift: the maximum relative difference in speed between the clocks of two gateways.
        max_owners: the maximum number of gateways that may own a request in turn, including the first.
        max_adopted: the maximum number of adopted requests in flight.
        adoptions_per_s: the maximum rate of adoptions.
        response_retention_ms: how long the records of a finished request are kept for clients that repeat it.
        response_cache_bytes: the maximum total size of the response bodies that this gateway keeps; the
            oldest bodies are removed first.
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
