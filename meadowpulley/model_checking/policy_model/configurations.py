"""The small configurations that are explored: what there is at the start, and what may go wrong.

Times are scaled down so that all edges lie near one another: the decisions act on settings, so that a grace
of 100 ms is kept by the same lines as one of 2 s. What the module holds as figures of its own (ticks,
memories) stays as it is.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from meadowpulley.interface import (
    DeduplicationScope,
    Effect,
    Limits,
    Phase,
    RequestClass,
    Rollout,
    RolloutUpdate,
    Rules,
    Settings,
    StageGate,
)

# Indices into CLASSES.
SAFE = 0
UNSAFE = 1
IDEMPOTENT_WITH_KEY = 2
BASELINE_BUILD = 41
TRIAL_BUILD = 42
EDGE_MARGIN_MS = 1.0  # just before and just after an edge
WELL_PAST_EDGE_MS = 20.0  # well after one

CLASSES = (
    RequestClass("address-check", 200.0, 400.0, Effect.IDEMPOTENT),
    RequestClass("zone-change", 200.0, 400.0, Effect.NON_IDEMPOTENT),
    RequestClass("order", 200.0, 400.0, Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL, 150.0),
)
RULES = Rules(
    response_slack_ms=20.0,
    max_poll_interval_ms=1000.0,
    slow_start_initial_fraction=0.5,
    slow_start_ms=300.0,
    overload_multiple=2.0,
    overload_window_ms=200.0,
    drain_grace_ms=100.0,
)
LIMITS = Limits(
    max_attempts=3,
    hedging=False,
    cancellation=True,
    gossip=True,
    retry_after=True,
    max_retry_after_ms=500.0,
    connect_timeout_ms=50.0,
    max_open_connections=100,
)
ROLLOUT = Rollout(
    gate=StageGate.ANY,
    stage_shares=(0.5, 1.0),
    caps=(0.5, 1.0),
    soak_ms=300.0,
    advance_votes=1,
    rollback_votes=1,
    vote_ttl_ms=600.0,
    votes_per_s=50.0,
    call_timeout_ms=100.0,
    update_period_ms=400.0,
    exposure_window_ms=300.0,
    exposure_allowance=1.0,
)


RELEASED_BUILD = RolloutUpdate(BASELINE_BUILD, 1, Phase.RELEASED, 1.0, 10_000.0)


@dataclass(frozen=True, slots=True)
class Configuration:
    """`kinds`: class and key of each request, in any order of arrival. `builds`: of the servers at the start.
    `faults`: which steps may fail, `edges`: which moments time stops at, just before, at and after.
    `retry_budget`: retries that a gateway has saved up at the start."""

    name: str
    description: str
    kinds: tuple[tuple[int, int], ...]
    builds: tuple[int, ...]
    faults: frozenset[str]
    edges: tuple[str, ...]
    rollout_update: RolloutUpdate = RELEASED_BUILD
    rollout: Rollout = ROLLOUT
    limits: Limits = LIMITS
    retry_budget: float = 3.0
    must_poll: bool = False
    starts_in_slow_start: bool = False

    def settings(self, gateway_index: int, gateway_count: int) -> Settings:
        """Return the settings of one gateway."""
        return Settings(
            gateway_index,
            gateway_count,
            0,
            ("hobart",),
            5.0,
            CLASSES,
            (),
            RULES,
            self.limits,
            self.rollout,
            self.must_poll,
        )


BUILD_ON_TRIAL = RolloutUpdate(TRIAL_BUILD, 0, Phase.TRIAL, 0.5, 0.0)
OUTCOME_FAULTS = frozenset({"error", "reset", "full", "connect_failed"})

CONFIGURATIONS = {
    s.name: s
    for s in (
        Configuration(
            "attempts",
            "the life of an attempt: every outcome, silence, late answers, clients that leave",
            ((SAFE, 1), (UNSAFE, 1), (UNSAFE, 0), (IDEMPOTENT_WITH_KEY, 2)),
            (BASELINE_BUILD, BASELINE_BUILD, BASELINE_BUILD),
            OUTCOME_FAULTS | {"leave"},
            ("deadline", "timer"),
        ),
        Configuration(
            "copies",
            "second copies allowed: two attempts of one request out at once, whatever they bring",
            ((SAFE, 1), (IDEMPOTENT_WITH_KEY, 1), (UNSAFE, 0), (SAFE, 0)),
            (BASELINE_BUILD, BASELINE_BUILD, BASELINE_BUILD),
            OUTCOME_FAULTS | {"leave"},
            ("deadline", "timer", "memory"),
            limits=replace(LIMITS, hedging=True),
        ),
        Configuration(
            "members",
            "servers drain, go and return with another build; the list late, failing; a gateway killed and "
            "started with an old list",
            ((SAFE, 0), (UNSAFE, 0), (SAFE, 0), (UNSAFE, 0)),
            (BASELINE_BUILD, BASELINE_BUILD, BASELINE_BUILD),
            frozenset({"drain", "gone", "return", "list_failed", "kill", "connect_failed", "leave"}),
            ("drain", "timer"),
            must_poll=True,
        ),
        Configuration(
            "release",
            "a build on trial, its cap raised, called back, released; news late, lost, out of order; "
            "votes lost",
            ((SAFE, 0), (UNSAFE, 0), (SAFE, 0), (UNSAFE, 0)),
            (BASELINE_BUILD, BASELINE_BUILD, TRIAL_BUILD),
            frozenset({"stage", "call_back", "withdraw", "lose_news", "lose_vote", "error"}),
            ("window", "grace", "timer"),
            rollout_update=BUILD_ON_TRIAL,
        ),
        Configuration(
            "window",
            "attempts at the trial build around the edges of the exposure window",
            ((SAFE, 0), (SAFE, 0), (SAFE, 0), (SAFE, 0)),
            (BASELINE_BUILD, TRIAL_BUILD),
            frozenset({"error"}),
            ("window",),
            rollout_update=BUILD_ON_TRIAL,
        ),
        Configuration(
            "grace",
            "a build called back: the lower cap binds once the grace for drains has passed",
            ((SAFE, 0), (SAFE, 0), (SAFE, 0), (SAFE, 0)),
            (BASELINE_BUILD, TRIAL_BUILD),
            frozenset({"call_back", "error"}),
            ("grace",),
            rollout_update=BUILD_ON_TRIAL,
        ),
        Configuration(
            "guarded",
            "a first stage closed to requests with an effect; a server of a build not announced yet",
            ((SAFE, 1), (UNSAFE, 1), (IDEMPOTENT_WITH_KEY, 1), (UNSAFE, 0)),
            (BASELINE_BUILD, BASELINE_BUILD, TRIAL_BUILD),
            frozenset({"stage", "call_back", "return", "lose_news", "full", "reset"}),
            ("window", "grace"),
            rollout=replace(ROLLOUT, guarded_stages=1, exposure_per_class=True),
        ),
        Configuration(
            "keys",
            "keys that the trial build may have answered: answers late, lost or cancelled, a gateway killed",
            ((SAFE, 1), (UNSAFE, 1), (IDEMPOTENT_WITH_KEY, 1), (SAFE, 2)),
            (BASELINE_BUILD, BASELINE_BUILD, TRIAL_BUILD),
            frozenset({"error", "reset", "full", "leave", "call_back", "withdraw", "kill", "stage"}),
            ("deadline", "timer"),
            rollout_update=BUILD_ON_TRIAL,
            rollout=replace(ROLLOUT, monotonic_keys=True, exposure_allowance=2.0),
        ),
        Configuration(
            "cold",
            "servers that have just started, one that returns cold, and all requests at once",
            ((SAFE, 0), (UNSAFE, 0), (SAFE, 0), (UNSAFE, 0)),
            (BASELINE_BUILD, BASELINE_BUILD, BASELINE_BUILD),
            frozenset({"gone", "return", "full", "reset"}),
            ("cold", "timer"),
            starts_in_slow_start=True,
        ),
        Configuration(
            "restart",
            "a warm server that starts anew under its id with its build: it is cold",
            ((SAFE, 0), (SAFE, 0), (SAFE, 0), (SAFE, 0)),
            (BASELINE_BUILD, BASELINE_BUILD, BASELINE_BUILD),
            frozenset({"restart"}),
            ("cold",),
        ),
        Configuration(
            "all",
            "everything at once",
            ((SAFE, 1), (UNSAFE, 1), (SAFE, 2), (IDEMPOTENT_WITH_KEY, 1)),
            (BASELINE_BUILD, BASELINE_BUILD, TRIAL_BUILD),
            OUTCOME_FAULTS
            | {
                "leave",
                "drain",
                "gone",
                "return",
                "list_failed",
                "kill",
                "stage",
                "call_back",
                "withdraw",
                "lose_news",
                "lose_vote",
                "lose_datagram",
                "repeat_datagram",
            },
            ("deadline", "drain", "window", "grace", "cold", "timer", "memory"),
            rollout_update=BUILD_ON_TRIAL,
            rollout=replace(ROLLOUT, monotonic_keys=True, exposure_allowance=2.0),
        ),
    )
}
