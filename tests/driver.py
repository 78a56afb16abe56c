"""Hands events to one balancer and looks at its actions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from meadowpulley import interface as i
from meadowpulley.balance import TICK, Balancer

SAFE, UNSAFE, KEYED = 0, 1, 2

CLASSES = (
    i.RequestClass("look", 1000.0, 3000.0, i.Effect.IDEMPOTENT),
    i.RequestClass("pay", 800.0, 2000.0, i.Effect.NON_IDEMPOTENT),
    i.RequestClass("order", 1000.0, 2500.0, i.Effect.IDEMPOTENT_WITH_KEY, i.DeduplicationScope.ALL, 2000.0),
)
RULES = i.Rules(20.0, 10_000.0, 0.4, 4000.0, 2.0, 1500.0, 500.0)
LIMITS = i.Limits(4, False, True, False, False, True, 500.0, 250.0, 1000)
ROLLOUT = i.Rollout(
    gate=i.StageGate.ANY, stage_shares=(0.1, 0.5, 1.0), caps=(0.1, 0.5, 1.0), soak_ms=3000.0, advance_votes=1,
    rollback_votes=1,
    vote_ttl_ms=6000.0, votes_per_s=50.0, call_timeout_ms=1000.0, update_period_ms=4000.0,
    exposure_window_ms=6000.0, exposure_allowance=2.0,
)  # fmt: skip


def settings(
    rollout: i.Rollout = ROLLOUT,
    limits: i.Limits = LIMITS,
    classes: tuple[i.RequestClass, ...] = CLASSES,
    must_ask: bool = False,
    balancers: int = 1,
) -> i.Settings:
    return i.Settings(0, balancers, 0, ("a", "b"), 5.0, classes, (), RULES, limits, rollout, must_ask)


def entry(server: int, build: int = 41, started: float = 0.0, **more: int) -> i.ServerEntry:
    base = i.ServerEntry(server, 0, 0, i.ServerState.READY, build, started, 0, 1.0)
    return replace(base, **more)  # type: ignore[arg-type]


class Driver:
    def __init__(self, s: i.Settings | None = None, seed: int = 7, told: bool = True) -> None:
        self.b = Balancer(s or settings(), seed)
        self.now = 0.0
        self.last = 0
        self.tries: dict[int, int] = {}
        if told:
            self.news(41, 2, 1.0, i.Phase.RELEASED)

    def give(self, event: i.Event) -> list[i.Action]:
        return self.b.handle(self.now, event)

    def listed(self, entries: Iterable[i.ServerEntry], kind: i.EndpointUpdateKind = i.EndpointUpdateKind.FULL) -> list[i.Action]:
        return self.give(i.EndpointUpdate(kind, 1, tuple(entries)))

    def news(
        self, build: int, stage: int = 0, cap: float = 0.1, phase: i.Phase = i.Phase.TRIAL, age: float = 0.0
    ) -> list[i.Action]:
        return self.give(i.RolloutUpdate(build, stage, phase, cap, age))

    def ask(self, cls: int = SAFE, key: int = 0, left: float | None = None) -> list[i.Action]:
        self.last += 1
        left = CLASSES[cls].deadline_ms if left is None else left
        return self.give(i.Request(self.last, cls, 0, key, self.now + left))

    def end(
        self, send: i.Send, result: i.Result = i.Result.OK, took: float = 100.0, over: bool | None = None
    ) -> list[i.Action]:
        n = self.tries.get(send.request, 0)
        self.tries[send.request] = n + 1
        done = result is i.Result.OK if over is None else over
        return self.give(i.Outcome(send.request, n, send.server, result, took, done))

    def tick(self) -> list[i.Action]:
        return self.give(i.Timer(TICK))


def sends(actions: Iterable[i.Action]) -> list[i.Send]:
    return [a for a in actions if isinstance(a, i.Send)]


def votes(actions: Iterable[i.Action]) -> list[i.Vote]:
    return [a for a in actions if isinstance(a, i.Vote)]


def fleet(d: Driver, count: int = 4, build: int = 41) -> None:
    d.listed(entry(n, build) for n in range(count))
