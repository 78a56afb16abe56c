"""A test driver for the policy of one gateway, and the settings that the tests share."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from meadowpulley.interface import (
    Action,
    DeduplicationScope,
    Effect,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Limits,
    Outcome,
    Phase,
    Request,
    RequestClass,
    Result,
    Rollout,
    RolloutUpdate,
    Rules,
    Send,
    ServerEntry,
    ServerState,
    Settings,
    StageGate,
    Timer,
    Vote,
)
from meadowpulley.policy import TIMER_TOKEN, RolloutPolicy

SAFE, UNSAFE, KEYED = 0, 1, 2

CLASSES = (
    RequestClass("look", 1000.0, 3000.0, Effect.IDEMPOTENT),
    RequestClass("pay", 800.0, 2000.0, Effect.NON_IDEMPOTENT),
    RequestClass("order", 1000.0, 2500.0, Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL, 2000.0),
)
RULES = Rules(20.0, 10_000.0, 0.4, 4000.0, 2.0, 1500.0, 500.0)
LIMITS = Limits(4, False, True, False, False, True, 500.0, 250.0, 1000)
ROLLOUT = Rollout(
    gate=StageGate.ANY,
    stage_shares=(0.1, 0.5, 1.0),
    caps=(0.1, 0.5, 1.0),
    soak_ms=3000.0,
    advance_votes=1,
    rollback_votes=1,
    vote_ttl_ms=6000.0,
    votes_per_s=50.0,
    call_timeout_ms=1000.0,
    update_period_ms=4000.0,
    exposure_window_ms=6000.0,
    exposure_allowance=2.0,
)


def settings(
    rollout: Rollout = ROLLOUT,
    limits: Limits = LIMITS,
    classes: tuple[RequestClass, ...] = CLASSES,
    must_poll: bool = False,
    gateway_count: int = 1,
) -> Settings:
    return Settings(0, gateway_count, 0, ("a", "b"), 5.0, classes, (), RULES, limits, rollout, must_poll)


def server_entry(server: int, build: int = 41, started_ms: float = 0.0, **changes: int) -> ServerEntry:
    base = ServerEntry(server, 0, 0, ServerState.READY, build, started_ms, 0, 1.0)
    return replace(base, **changes)  # type: ignore[arg-type]


class Driver:
    """Passes events to the policy of one gateway on a clock that the test sets."""

    def __init__(self, policy_settings: Settings | None = None, seed: int = 7, released: bool = True) -> None:
        self.policy = RolloutPolicy(policy_settings or settings(), seed)
        self.now = 0.0
        self.last_request = 0
        self.attempt_counts: dict[int, int] = {}
        if released:
            self.update_rollout(41, 2, 1.0, Phase.RELEASED)

    def handle(self, event: Event) -> list[Action]:
        return self.policy.handle(self.now, event)

    def update_endpoints(
        self, entries: Iterable[ServerEntry], kind: EndpointUpdateKind = EndpointUpdateKind.FULL
    ) -> list[Action]:
        return self.handle(EndpointUpdate(kind, 1, tuple(entries)))

    def update_rollout(
        self, build: int, stage: int = 0, cap: float = 0.1, phase: Phase = Phase.TRIAL, age: float = 0.0
    ) -> list[Action]:
        return self.handle(RolloutUpdate(build, stage, phase, cap, age))

    def request(
        self, class_index: int = SAFE, key: int = 0, time_left_ms: float | None = None
    ) -> list[Action]:
        self.last_request += 1
        time_left_ms = CLASSES[class_index].deadline_ms if time_left_ms is None else time_left_ms
        return self.handle(Request(self.last_request, class_index, 0, key, self.now + time_left_ms))

    def finish(
        self, send: Send, result: Result = Result.OK, elapsed_ms: float = 100.0, final: bool | None = None
    ) -> list[Action]:
        attempt = self.attempt_counts.get(send.request, 0)
        self.attempt_counts[send.request] = attempt + 1
        is_final = result is Result.OK if final is None else final
        return self.handle(Outcome(send.request, attempt, send.server, result, elapsed_ms, is_final))

    def fire_timer(self) -> list[Action]:
        return self.handle(Timer(TIMER_TOKEN))


def sends(actions: Iterable[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def votes(actions: Iterable[Action]) -> list[Vote]:
    return [a for a in actions if isinstance(a, Vote)]


def list_servers(driver: Driver, count: int = 4, build: int = 41) -> None:
    driver.update_endpoints(server_entry(n, build) for n in range(count))
