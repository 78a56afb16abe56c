"""Hands events to one balancer and looks at its actions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from meadowpulley.balance import TICK, Balancer
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
    must_ask: bool = False,
    balancers: int = 1,
) -> Settings:
    return Settings(0, balancers, 0, ("a", "b"), 5.0, classes, (), RULES, limits, rollout, must_ask)


def entry(server: int, build: int = 41, started: float = 0.0, **more: int) -> ServerEntry:
    base = ServerEntry(server, 0, 0, ServerState.READY, build, started, 0, 1.0)
    return replace(base, **more)  # type: ignore[arg-type]


class Driver:
    def __init__(self, s: Settings | None = None, seed: int = 7, told: bool = True) -> None:
        self.b = Balancer(s or settings(), seed)
        self.now = 0.0
        self.last = 0
        self.tries: dict[int, int] = {}
        if told:
            self.news(41, 2, 1.0, Phase.RELEASED)

    def give(self, event: Event) -> list[Action]:
        return self.b.handle(self.now, event)

    def listed(
        self, entries: Iterable[ServerEntry], kind: EndpointUpdateKind = EndpointUpdateKind.FULL
    ) -> list[Action]:
        return self.give(EndpointUpdate(kind, 1, tuple(entries)))

    def news(
        self, build: int, stage: int = 0, cap: float = 0.1, phase: Phase = Phase.TRIAL, age: float = 0.0
    ) -> list[Action]:
        return self.give(RolloutUpdate(build, stage, phase, cap, age))

    def ask(self, cls: int = SAFE, key: int = 0, left: float | None = None) -> list[Action]:
        self.last += 1
        left = CLASSES[cls].deadline_ms if left is None else left
        return self.give(Request(self.last, cls, 0, key, self.now + left))

    def end(
        self, send: Send, result: Result = Result.OK, took: float = 100.0, over: bool | None = None
    ) -> list[Action]:
        n = self.tries.get(send.request, 0)
        self.tries[send.request] = n + 1
        done = result is Result.OK if over is None else over
        return self.give(Outcome(send.request, n, send.server, result, took, done))

    def tick(self) -> list[Action]:
        return self.give(Timer(TICK))


def sends(actions: Iterable[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def votes(actions: Iterable[Action]) -> list[Vote]:
    return [a for a in actions if isinstance(a, Vote)]


def fleet(d: Driver, count: int = 4, build: int = 41) -> None:
    d.listed(entry(n, build) for n in range(count))
