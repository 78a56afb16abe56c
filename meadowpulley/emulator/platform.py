"""Simulated rollout platform: moves builds through stages, counts votes and sends rollout updates."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from meadowpulley.emulator.builds import Build
from meadowpulley.emulator.clock import Timeline, uniform
from meadowpulley.fleet import RolloutModel
from meadowpulley.interface import Phase, Result, RolloutUpdate, Verdict, Vote

STAGED_VERDICTS = (Verdict.ADVANCE, Verdict.HOLD)  # verdicts on a stage; a rollback is on the build
VOTING_PHASES = (Phase.TRIAL, Phase.RELEASED)
COUNTED_WHILE_UNAVAILABLE = 0.5  # share of the votes that count although their replies are lost
VOTE_RATE_WINDOW_MS = 1000.0  # `votes_per_s` limits the calls within it
HOLD_CHECK_INTERVAL_MS = 500.0  # interval of checks whether enough votes still hold an overdue stage
MAX_STATE_AGE_MS = 3_600_000.0  # the age of the first state, which has no start, is reported as this


class ServerControl(Protocol):
    """Operations of the platform on the servers."""

    def start_servers(self, build: Build, count: int, replacing: bool) -> None:
        """Start servers of a build; with `replacing` each drains one of an earlier build once it is up."""

    def drain_builds(self, matches: Callable[[int], bool]) -> None:
        """Drain all servers whose build number matches."""

    def serving_count(self, build: int) -> int:
        """Return how many servers of a build are ready."""


@dataclass(frozen=True, slots=True)
class RolloutState:
    """Stage and phase of a build since a time in milliseconds."""

    build: int
    stage: int
    phase: Phase
    cap: float
    since: float


@dataclass(frozen=True, slots=True)
class _CountedVote:
    """A vote that counts until `expires_at` (ms)."""

    vote: Vote
    expires_at: float

    def supports(self, verdict: Verdict, state: RolloutState, now: float) -> bool:
        """Return whether it counts for a verdict on the current build, and stage where that matters."""
        vote = self.vote
        if vote.verdict is not verdict or vote.build != state.build or self.expires_at < now:
            return False
        return verdict not in STAGED_VERDICTS or vote.stage == state.stage


class RolloutPlatform:
    """Controls the rollout on `servers`; `notify(gateway, update)` delivers updates."""

    def __init__(
        self,
        clock: Timeline,
        rng: np.random.Generator,
        model: RolloutModel,
        server_count: int,
        first_build: Build,
        servers: ServerControl,
        notify: Callable[[int, RolloutUpdate], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self.model = model
        self.server_count = server_count
        self._servers = servers
        self._notify_gateway = notify
        last_stage = len(model.stages) - 1
        self.state = RolloutState(first_build.number, last_stage, Phase.RELEASED, 1.0, -math.inf)
        self.history: list[RolloutState] = []
        self.unavailable = False
        self.extra_delay_ms = 0.0
        self.gateways: set[int] = set()  # subscribed gateways
        self._newest_build = first_build
        self._previous_build = first_build  # the one released before the newest
        self._votes: dict[int, _CountedVote] = {}  # the latest of each gateway
        self._recent_calls: list[float] = []
        self._last_delivery_at: dict[int, float] = {}
        self._pending_build: Build | None = None
        clock.call_later(model.update_period_ms, self._broadcast_periodically)

    # Stages

    def offer(self, build: Build) -> None:
        """Start the rollout of a new build; one still on trial is drained first."""
        if self.unavailable:
            self._pending_build = build
            return
        if self.state.phase is Phase.TRIAL:
            previous = self.state.build
            self._servers.drain_builds(lambda number: number == previous)
        elif self.state.phase is Phase.RELEASED:
            self._previous_build = self._newest_build
        self._newest_build = build
        self._votes.clear()
        self._transition(0, Phase.TRIAL, self.model.caps[0])
        self._start_stage(0)

    def _start_stage(self, stage: int) -> None:
        share = self.model.stages[stage]
        started = math.ceil(self.model.stages[stage - 1] * self.server_count) if stage else 0
        count = math.ceil(share * self.server_count) - started
        self._servers.start_servers(self._newest_build, count, self.model.style == "in_place")
        if self.model.gate == "timer":
            self._clock.call_later(self.model.stage_time_ms, self.evaluate)

    def _transition(self, stage: int, phase: Phase, cap: float) -> None:
        self.state = RolloutState(self._newest_build.number, stage, phase, cap, self._clock.now)
        self.history.append(self.state)
        for gateway in sorted(self.gateways):
            self._notify_later(gateway)

    def _advance(self) -> None:
        stage = self.state.stage + 1
        if stage < len(self.model.stages):
            self._transition(stage, Phase.TRIAL, self.model.caps[stage])
            self._start_stage(stage)
            return
        newest = self._newest_build.number
        self._transition(stage - 1, Phase.RELEASED, 1.0)
        self._servers.drain_builds(lambda number: number < newest)

    def _roll_back(self) -> None:
        faulty = self._newest_build.number
        previous = self._previous_build
        missing = self.server_count - self._servers.serving_count(previous.number)
        released = self.state.phase is Phase.RELEASED or self.model.style == "in_place"
        self._votes.clear()
        if released and missing > 0:
            self._transition(self.state.stage, Phase.ROLLING_BACK, self.state.cap)
            self._servers.start_servers(previous, missing, False)
            self._clock.call_later(self.model.boot_ms[1], lambda: self._drain_faulty(faulty))
        else:
            self._drain_faulty(faulty)

    def _drain_faulty(self, faulty: int) -> None:
        if self.state.build != faulty:
            return
        self._transition(self.state.stage, Phase.ROLLING_BACK, 0.0)
        self._servers.drain_builds(lambda number: number == faulty)
        self._clock.call_later(self.model.drain_ms, lambda: self._finish_rollback(faulty))

    def _finish_rollback(self, faulty: int) -> None:
        if self.state.build == faulty:
            self._transition(self.state.stage, Phase.ROLLED_BACK, 0.0)

    # Votes

    def vote(self, gateway: int, vote: Vote) -> None:
        """Handle a vote; the reply comes as a rollout update."""
        if self.unavailable:
            if self._rng.random() < COUNTED_WHILE_UNAVAILABLE:  # the reply is lost, but the vote counts
                self._count_vote(gateway, vote)
            return
        now = self._clock.now
        self._recent_calls = [at for at in self._recent_calls if at > now - VOTE_RATE_WINDOW_MS]
        if len(self._recent_calls) >= self.model.votes_per_s:
            self._reply_to_vote(gateway, Result.REJECTED)
            return
        self._recent_calls.append(now)
        self._reply_to_vote(gateway, self._count_vote(gateway, vote))

    def _count_vote(self, gateway: int, vote: Vote) -> Result:
        state = self.state
        staged = vote.verdict in STAGED_VERDICTS
        is_current = vote.build == state.build and (not staged or vote.stage == state.stage)
        if not is_current or state.phase not in VOTING_PHASES:
            return Result.NOT_SENT
        self._votes[gateway] = _CountedVote(vote, self._clock.now + self.model.vote_ttl_ms)
        self.evaluate()
        return Result.OK

    def _valid_votes(self, verdict: Verdict) -> int:
        now = self._clock.now
        state = self.state
        return sum(counted.supports(verdict, state, now) for counted in self._votes.values())

    def evaluate(self) -> None:
        """Advance or roll back the build where votes or time require it."""
        state = self.state
        model = self.model
        if self.unavailable or state.phase not in VOTING_PHASES:
            return
        can_roll_back = self._previous_build is not self._newest_build
        if can_roll_back and self._valid_votes(Verdict.ROLL_BACK) >= model.rollback_votes:
            self._roll_back()
        elif state.phase is not Phase.TRIAL:
            return
        elif model.gate == "timer":
            self._advance_by_time()
        elif self._valid_votes(Verdict.ADVANCE) >= model.advance_votes:
            self._advance_after_soak()

    def _advance_by_time(self) -> None:
        """Advance once the stage's time is over, unless enough gateways hold it."""
        model = self.model
        if self._clock.now < self.state.since + model.stage_time_ms:
            return
        if model.hold_votes and self._valid_votes(Verdict.HOLD) >= model.hold_votes:
            self._clock.call_later(HOLD_CHECK_INTERVAL_MS, self.evaluate)
        else:
            self._advance()

    def _advance_after_soak(self) -> None:
        """Advance a stage that has enough votes, no sooner than after its soak time."""
        ready_at = self.state.since + self.model.soak_ms
        if self._clock.now >= ready_at:
            self._advance()
        else:
            self._clock.call_at(ready_at, self.evaluate)

    # Updates

    def subscribe(self, gateway: int) -> None:
        """Send rollout updates to a gateway from now on."""
        self.gateways.add(gateway)

    def unsubscribe(self, gateway: int) -> None:
        """Stop updates to a gateway and drop its vote."""
        self.gateways.discard(gateway)
        self._votes.pop(gateway, None)

    def current_update(self, result: Result = Result.OK, is_vote_reply: bool = False) -> RolloutUpdate:
        """Return an update with the current state."""
        state = self.state
        age_ms = min(self._clock.now - state.since, MAX_STATE_AGE_MS)
        return RolloutUpdate(state.build, state.stage, state.phase, state.cap, age_ms, result, is_vote_reply)

    def _reply_to_vote(self, gateway: int, result: Result) -> None:
        self._deliver(gateway, uniform(self._rng, self.model.call_ms), self.current_update(result, True))

    def _notify_later(self, gateway: int) -> None:
        self._deliver(
            gateway,
            uniform(self._rng, self.model.update_delay_ms) + self.extra_delay_ms,
            self.current_update(),
        )

    def _deliver(self, gateway: int, delay_ms: float, update: RolloutUpdate) -> None:
        """Deliver an update after a delay, never before an earlier one to the same gateway."""
        when = max(self._clock.now + delay_ms, self._last_delivery_at.get(gateway, 0.0))
        self._last_delivery_at[gateway] = when
        sent_at = self._clock.now

        def arrive() -> None:
            """Deliver the update with the age that it has on arrival."""
            age_ms = update.age_ms + self._clock.now - sent_at
            delivered = RolloutUpdate(
                update.build,
                update.stage,
                update.phase,
                update.cap,
                age_ms,
                update.result,
                update.is_vote_reply,
            )
            self._notify_gateway(gateway, delivered)

        self._clock.call_at(when, arrive)

    def _broadcast_periodically(self) -> None:
        if not self.unavailable:
            for gateway in sorted(self.gateways):
                self._notify_later(gateway)
        self._clock.call_later(self.model.update_period_ms, self._broadcast_periodically)

    def fail(self) -> None:
        """Make the platform unavailable."""
        self.unavailable = True

    def recover(self) -> None:
        """Make the platform available again and continue with a build offered meanwhile."""
        self.unavailable = False
        pending = self._pending_build
        self._pending_build = None
        if pending is not None:
            self.offer(pending)
        self.evaluate()
