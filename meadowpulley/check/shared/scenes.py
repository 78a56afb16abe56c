"""The scenes of world C: which requests come, what may go wrong, and the terms, scaled down."""

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
from meadowpulley.ledger.keeper import Terms as LeaseTerms
from meadowpulley.lending.model import Plan, Share
from meadowpulley.takeover.model import Terms, Written

SAFE, UNSAFE, KEYED = 0, 1, 2
BUILD = 41
TERM_MS = 400.0  # of a lease
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
LEASES = LeaseTerms(term_ms=TERM_MS, act_part=0.7, drift=0.02)
TAKEOVER = Terms(
    written=Written.ALL, right_ms=100.0, hold_ms=150.0, again_ms=40.0, step_ms=60.0, keep_ms=60_000.0
)
PLAN = Plan(
    1, 40.0, 2, (Share("a", 0.5), Share("b", 0.5)), floor=0.1, term_ms=TERM_MS, floor_term_ms=4 * TERM_MS
)
BURST = 3  # requests at once, where a tenant asks in a scene that lends


@dataclass(frozen=True, slots=True)
class Scene:
    """`kinds`: classes of the requests, in the order they come. `troubles`: what may go wrong.

    `takes_over`, `lends`: which stages stand round the decisions. `by_turns`: time moves by whole turns of
    lending alone. `copies`: asks of one request, at most.
    """

    name: str
    about: str
    kinds: tuple[int, ...]
    troubles: frozenset[str]
    takes_over: bool = True
    lends: bool = False
    by_turns: bool = False
    copies: int = 2

    def settings(self, me: int) -> Settings:
        return Settings(me, 2, 0, ("hobart",), 5.0, CLASSES, TENANTS, RULES, LIMITS, ROLLOUT)


LIFE = frozenset({"kill", "stop"})
LEDGER = frozenset({"lose", "hold", "stale"})
SERVER = frozenset({"reset", "full", "late"})
CLIENT = frozenset({"again", "leave"})
SCENES = {
    s.name: s
    for s in (
        Scene("lives", "gateways killed, stopped and woken at every step", (UNSAFE, KEYED, SAFE), LIFE),
        Scene(
            "keyed",
            "the same, for requests whose repeats are dropped",
            (KEYED, SAFE, UNSAFE),
            LIFE | {"late"},
        ),
        Scene(
            "answers",
            "answers of the ledger lost or late, whether or not the step was carried out",
            (UNSAFE, KEYED, SAFE),
            LEDGER | {"kill", "again"},
        ),
        Scene(
            "servers",
            "attempts that break, are turned away or run after others have acted",
            (UNSAFE, KEYED, SAFE),
            SERVER | LIFE,
        ),
        Scene(
            "clients",
            "clients that leave, and ask again at the other gateway with the same id",
            (UNSAFE, SAFE, KEYED),
            CLIENT | LIFE,
        ),
        Scene(
            "handover",
            "planned stops, which hand over what can't end before the kill",
            (UNSAFE, KEYED, SAFE),
            frozenset({"term", "kill", "late", "lose"}),
        ),
        Scene(
            "restarts",
            "a killed gateway that starts anew under its name",
            (UNSAFE, KEYED, SAFE),
            frozenset({"kill", "start", "again", "late"}),
        ),
        Scene("all", "all of it", (UNSAFE, KEYED, SAFE), LIFE | LEDGER | SERVER | CLIENT | {"term", "start"}),
        Scene(
            "stands",
            "capacity lent, and a gateway that stands still",
            (SAFE, SAFE, SAFE),
            frozenset({"stop"}),
            takes_over=False,
            lends=True,
            by_turns=True,
        ),
        Scene(
            "lent",
            "capacity lent between two tenants: gateways killed, stopped, cut off, started anew",
            (SAFE, SAFE, SAFE),
            LIFE | {"hold", "lose", "start", "term"},
            takes_over=False,
            lends=True,
        ),
    )
}
