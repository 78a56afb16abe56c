"""The configurations of the shared-state model: which requests come, what may fail, scaled-down times."""

from __future__ import annotations

from dataclasses import dataclass

from meadowpulley.interface import (
    DeduplicationScope,
    Effect,
    Limits,
    RequestClass,
    Rollout,
    Rules,
    Settings,
    Tenant,
)
from meadowpulley.ledger.lease_manager import LeaseTimings as LeaseTerms
from meadowpulley.lending import Quota, QuotaPlan
from meadowpulley.takeover.settings import JournalScope, TakeoverSettings

# Indices into CLASSES.
SAFE = 0
UNSAFE = 1
IDEMPOTENT_WITH_KEY = 2
BUILD = 41
LEASE_TERM_MS = 400.0  # of a lease
CLASSES = (
    RequestClass("look", 200.0, 2000.0, Effect.IDEMPOTENT),
    RequestClass("pay", 200.0, 2000.0, Effect.NON_IDEMPOTENT),
    RequestClass("order", 200.0, 2000.0, Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL, 5000.0),
)
PATHS = ("/look", "/pay", "/order")
RULES = Rules(response_slack_ms=50.0, max_poll_interval_ms=60_000.0, drain_grace_ms=1000.0)
LIMITS = Limits(max_attempts=3, retry_after=True, max_retry_after_ms=500.0, connect_timeout_ms=50.0)
ROLLOUT = Rollout(caps=(1.0,), stage_shares=(1.0,), exposure_window_ms=300.0, exposure_allowance=4.0)
TENANTS = (Tenant("a", 0.5), Tenant("b", 0.5))
LEASES = LeaseTerms(term_ms=LEASE_TERM_MS, hold_fraction=0.7, max_clock_drift=0.02)
TAKEOVER = TakeoverSettings(
    journal_scope=JournalScope.ALL,
    grant_timeout_ms=100.0,
    response_hold_ms=150.0,
    retry_delay_ms=40.0,
    claim_stagger_ms=60.0,
    response_retention_ms=60_000.0,
)
PLAN = QuotaPlan(
    1,
    40.0,
    2,
    (Quota("a", 0.5), Quota("b", 0.5)),
    floor=0.1,
    term_ms=LEASE_TERM_MS,
    floor_term_ms=4 * LEASE_TERM_MS,
)
BURST_SIZE = 3  # requests at once, where a tenant asks in a scene that lends


@dataclass(frozen=True, slots=True)
class Configuration:
    """`kinds`: classes of the requests, in the order they come. `faults`: what may fail.

    `takes_over`, `lends`: which stages surround the policy. `time_by_rounds`: time moves by complete
    rounds of lending alone. `max_sends`: how often a client sends one request, at most.
    """

    name: str
    description: str
    kinds: tuple[int, ...]
    faults: frozenset[str]
    takes_over: bool = True
    lends: bool = False
    time_by_rounds: bool = False
    max_sends: int = 2

    def settings(self, gateway_index: int) -> Settings:
        """Return the settings of one gateway."""
        return Settings(gateway_index, 2, 0, ("hobart",), 5.0, CLASSES, TENANTS, RULES, LIMITS, ROLLOUT)


PROCESS_FAULTS = frozenset({"kill", "stop"})
LEDGER_FAULTS = frozenset({"lose", "hold", "stale"})
SERVER_FAULTS = frozenset({"reset", "full", "late"})
CLIENT_FAULTS = frozenset({"again", "leave"})
CONFIGURATIONS = {
    s.name: s
    for s in (
        Configuration(
            "lives",
            "gateways killed, stopped and woken at every step",
            (UNSAFE, IDEMPOTENT_WITH_KEY, SAFE),
            PROCESS_FAULTS,
        ),
        Configuration(
            "keyed",
            "the same, for requests whose repeats are dropped",
            (IDEMPOTENT_WITH_KEY, SAFE, UNSAFE),
            PROCESS_FAULTS | {"late"},
        ),
        Configuration(
            "answers",
            "answers of the ledger lost or late, whether or not the step was carried out",
            (UNSAFE, IDEMPOTENT_WITH_KEY, SAFE),
            LEDGER_FAULTS | {"kill", "again"},
        ),
        Configuration(
            "servers",
            "attempts that break, are turned away or run after others have acted",
            (UNSAFE, IDEMPOTENT_WITH_KEY, SAFE),
            SERVER_FAULTS | PROCESS_FAULTS,
        ),
        Configuration(
            "clients",
            "clients that leave, and ask again at the other gateway with the same id",
            (UNSAFE, SAFE, IDEMPOTENT_WITH_KEY),
            CLIENT_FAULTS | PROCESS_FAULTS,
        ),
        Configuration(
            "handover",
            "planned stops, which hand over what can't end before the kill",
            (UNSAFE, IDEMPOTENT_WITH_KEY, SAFE),
            frozenset({"term", "kill", "late", "lose"}),
        ),
        Configuration(
            "restarts",
            "a killed gateway that starts anew under its name",
            (UNSAFE, IDEMPOTENT_WITH_KEY, SAFE),
            frozenset({"kill", "start", "again", "late"}),
        ),
        Configuration(
            "all",
            "all of it",
            (UNSAFE, IDEMPOTENT_WITH_KEY, SAFE),
            PROCESS_FAULTS | LEDGER_FAULTS | SERVER_FAULTS | CLIENT_FAULTS | {"term", "start"},
        ),
        Configuration(
            "stands",
            "capacity lent, and a gateway that stands still",
            (SAFE, SAFE, SAFE),
            frozenset({"stop"}),
            takes_over=False,
            lends=True,
            time_by_rounds=True,
        ),
        Configuration(
            "lent",
            "capacity lent between two tenants: gateways killed, stopped, cut off, started anew",
            (SAFE, SAFE, SAFE),
            PROCESS_FAULTS | {"hold", "lose", "start", "term"},
            takes_over=False,
            lends=True,
        ),
    )
}
