"""The rollout platform: it brings builds in by stages, counts votes, and tells where the newest build
stands."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from meadowpulley.emulator.builds import Build
from meadowpulley.emulator.clock import Timeline, between
from meadowpulley.fleet import RolloutModel
from meadowpulley.interface import Phase, Result, RolloutUpdate, Verdict, Vote


class Servers(Protocol):
    """What the platform can do with the servers."""

    def start(self, build: Build, count: int, replacing: bool) -> None:
        """Starts so many servers of a build; where replacing, each drains one of an earlier build once it is
        up."""

    def drain(self, numbers: Callable[[int], bool]) -> None:
        """Drains all servers whose build's number is meant."""

    def up(self, build: int) -> int:
        """How many servers of a build run."""


@dataclass(frozen=True, slots=True)
class Stand:
    """Where a build stood since a moment (milliseconds)."""

    build: int
    stage: int
    phase: Phase
    cap: float
    since: float


class Platform:
    """`tell(gateway, news)` reaches a gateway; `servers` are what it acts on; `size` is a full fleet."""

    def __init__(
        self,
        clock: Timeline,
        rng: np.random.Generator,
        figures: RolloutModel,
        size: int,
        first: Build,
        servers: Servers,
        tell: Callable[[int, RolloutUpdate], None],
    ) -> None:
        self._clock, self._rng, self.figures, self.size = clock, rng, figures, size
        self._servers, self._tell_gateway = servers, tell
        last = len(figures.stages) - 1
        self.stand = Stand(first.number, last, Phase.RELEASED, 1.0, -math.inf)
        self.history: list[Stand] = []
        self.down = False
        self.late_ms = 0.0
        self.gateways: set[int] = set()  # those that follow its news
        self._build, self._before = first, first  # the newest, and the one that was in service before it
        self._votes: dict[int, tuple[Verdict, int, int, float]] = {}  # verdict, build, stage, until
        self._calls: list[float] = []
        self._told_at: dict[int, float] = {}
        self._waiting: Build | None = None
        clock.after(figures.news_period_ms, self._renew)

    # Stages

    def offer(self, build: Build) -> None:
        """The pipeline brings a new build; one still on trial is taken off first."""
        if self.down:
            self._waiting = build
            return
        if self.stand.phase is Phase.TRIAL:
            old = self.stand.build
            self._servers.drain(lambda number: number == old)
        elif self.stand.phase is Phase.RELEASED:
            self._before = self._build
        self._build = build
        self._votes.clear()
        self._move(0, Phase.TRIAL, self.figures.caps[0])
        self._grow(0)

    def _grow(self, stage: int) -> None:
        share = self.figures.stages[stage]
        wanted = math.ceil(share * self.size) - (
            math.ceil(self.figures.stages[stage - 1] * self.size) if stage else 0
        )
        self._servers.start(self._build, wanted, self.figures.style == "in_place")
        if self.figures.gate == "timer":
            self._clock.after(self.figures.stage_time_ms, self.consider)

    def _move(self, stage: int, phase: Phase, cap: float) -> None:
        self.stand = Stand(self._build.number, stage, phase, cap, self._clock.now)
        self.history.append(self.stand)
        for gateway in sorted(self.gateways):
            self._tell_soon(gateway)

    def _go_on(self) -> None:
        stage = self.stand.stage + 1
        if stage < len(self.figures.stages):
            self._move(stage, Phase.TRIAL, self.figures.caps[stage])
            self._grow(stage)
            return
        newest = self._build.number
        self._move(stage - 1, Phase.RELEASED, 1.0)
        self._servers.drain(lambda number: number < newest)

    def _go_back(self) -> None:
        bad, earlier = self._build.number, self._before
        lacking = self.size - self._servers.up(earlier.number)
        released = self.stand.phase is Phase.RELEASED or self.figures.style == "in_place"
        self._votes.clear()
        if released and lacking > 0:
            self._move(self.stand.stage, Phase.ROLLING_BACK, self.stand.cap)
            self._servers.start(earlier, lacking, False)
            self._clock.after(self.figures.boot_ms[1], lambda: self._empty(bad))
        else:
            self._empty(bad)

    def _empty(self, bad: int) -> None:
        if self.stand.build != bad:
            return
        self._move(self.stand.stage, Phase.ROLLING_BACK, 0.0)
        self._servers.drain(lambda number: number == bad)
        self._clock.after(self.figures.drain_ms, lambda: self._withdraw(bad))

    def _withdraw(self, bad: int) -> None:
        if self.stand.build == bad:
            self._move(self.stand.stage, Phase.ROLLED_BACK, 0.0)

    # Votes

    def vote(self, gateway: int, vote: Vote) -> None:
        """A vote has arrived. Its answer, if one comes, comes as news that answers it."""
        if self.down:
            if self._rng.random() < 0.5:  # nobody is told, but it counts
                self._count(gateway, vote)
            return
        now = self._clock.now
        self._calls = [at for at in self._calls if at > now - 1000.0]
        if len(self._calls) >= self.figures.votes_per_s:
            self._answer(gateway, Result.REJECTED)
            return
        self._calls.append(now)
        self._answer(gateway, self._count(gateway, vote))

    def _count(self, gateway: int, vote: Vote) -> Result:
        stand = self.stand
        staged = vote.verdict in (Verdict.ADVANCE, Verdict.HOLD)
        fits = vote.build == stand.build and (not staged or vote.stage == stand.stage)
        if not fits or stand.phase not in (Phase.TRIAL, Phase.RELEASED):
            return Result.NOT_SENT
        self._votes[gateway] = (
            vote.verdict,
            vote.build,
            vote.stage,
            self._clock.now + self.figures.vote_life_ms,
        )
        self.consider()
        return Result.OK

    def _standing(self, verdict: Verdict) -> int:
        now, stand = self._clock.now, self.stand
        staged = verdict in (Verdict.ADVANCE, Verdict.HOLD)
        return sum(
            v is verdict and build == stand.build and (not staged or stage == stand.stage) and until >= now
            for v, build, stage, until in self._votes.values()
        )

    def consider(self) -> None:
        """Whether the votes that stand, or the clock, move the build."""
        stand, roll, now = self.stand, self.figures, self._clock.now
        if self.down or stand.phase not in (Phase.TRIAL, Phase.RELEASED):
            return
        if self._standing(Verdict.ROLL_BACK) >= roll.back_votes and self._before is not self._build:
            self._go_back()
            return
        if stand.phase is not Phase.TRIAL:
            return
        ready_at = stand.since + roll.soak_ms
        if roll.gate == "timer":
            over = now >= stand.since + roll.stage_time_ms
            if over and not (roll.hold_votes and self._standing(Verdict.HOLD) >= roll.hold_votes):
                self._go_on()
            elif over:
                self._clock.after(500.0, self.consider)
        elif self._standing(Verdict.ADVANCE) >= roll.on_votes:
            if now >= ready_at:
                self._go_on()
            else:
                self._clock.at(ready_at, self.consider)

    # News

    def follow(self, gateway: int) -> None:
        self.gateways.add(gateway)

    def forget(self, gateway: int) -> None:
        self.gateways.discard(gateway)
        self._votes.pop(gateway, None)

    def news(self, result: Result = Result.OK, answers: bool = False) -> RolloutUpdate:
        """Where the newest build stands at this moment."""
        s = self.stand
        age = min(self._clock.now - s.since, 3_600_000.0)
        return RolloutUpdate(s.build, s.stage, s.phase, s.cap, age, result, answers)

    def _answer(self, gateway: int, result: Result) -> None:
        self._tell(gateway, between(self._rng, self.figures.call_ms), self.news(result, True))

    def _tell_soon(self, gateway: int) -> None:
        self._tell(gateway, between(self._rng, self.figures.told_late_ms) + self.late_ms, self.news())

    def _tell(self, gateway: int, delay: float, news: RolloutUpdate) -> None:
        """In order for each gateway: news is not overtaken by older news."""
        when = max(self._clock.now + delay, self._told_at.get(gateway, 0.0))
        self._told_at[gateway] = when
        sent = self._clock.now

        def arrive() -> None:
            age = news.age_ms + self._clock.now - sent
            late = RolloutUpdate(
                news.build, news.stage, news.phase, news.cap, age, news.result, news.is_vote_reply
            )
            self._tell_gateway(gateway, late)

        self._clock.at(when, arrive)

    def _renew(self) -> None:
        if not self.down:
            for gateway in sorted(self.gateways):
                self._tell_soon(gateway)
        self._clock.after(self.figures.news_period_ms, self._renew)

    def go_down(self) -> None:
        self.down = True

    def come_back(self) -> None:
        self.down = False
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            self.offer(waiting)
        self.consider()
