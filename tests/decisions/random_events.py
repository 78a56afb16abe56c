"""Random events for one policy, of all kinds, also those that no emulated party sends.

The sequences keep to what a gateway may be told: outcomes belong to attempts, replies to votes, and so on.
Beyond that anything goes: probes, load reports, statistics, streamed responses, hedged requests, pushed and
polled endpoint lists, gossip of a second policy that sees the same servers.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

from meadowpulley.interface import (
    Action,
    BuildStatistics,
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    Effect,
    EndpointUpdate,
    EndpointUpdateKind,
    EndpointWatchClosed,
    EndpointWatchOpened,
    Event,
    Fail,
    GossipReceived,
    IncorrectResponse,
    Outcome,
    Phase,
    PriorAttempt,
    Probe,
    ProbeResult,
    Reject,
    Request,
    RequestClass,
    ResponseStarted,
    Result,
    RolloutUpdate,
    Send,
    SendGossip,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    StageGate,
    Timer,
    Vote,
)
from meadowpulley.policy import RolloutPolicy
from tests.driver import CLASSES, LIMITS, ROLLOUT, settings

EVENT_COUNT = 4000
MEAN_STEP_MS = 4.0
FAILURES, BAD_BUILD_FAILURES = 0.1, 0.5  # builds of even numbers are bad
STREAMED = RequestClass("tail", 600.0, 1500.0, Effect.IDEMPOTENT, stream=True)
IN_CELL = RequestClass("book", 700.0, 1800.0, Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL, 900.0)
BAD_RESULTS = (
    Result.ERROR,
    Result.ERROR,
    Result.TIMEOUT,
    Result.RESET,
    Result.CONNECT_FAILED,
    Result.REJECTED,
    Result.NOT_SENT,
)


def settings_of(seed: int) -> Settings:
    """Return settings that differ from seed to seed in what a policy may do and has to keep to."""
    odd, third, fourth = seed % 2 == 1, seed % 3 == 0, seed % 4 == 0
    limits = replace(LIMITS, hedging=odd, probes=third, gossip=not fourth, cancellation=odd or third)
    rollout = replace(
        ROLLOUT,
        gate=tuple(StageGate)[seed % len(StageGate)],
        in_place=third,
        stage_time_ms=1500.0,
        exposure_per_class=fourth,
        guarded_stages=seed % 3 % 2,
        monotonic_keys=odd,
        rollback_votes=1 + seed % 2,
    )
    classes = (*CLASSES, STREAMED, IN_CELL)
    base = settings(rollout, limits, classes, must_poll=not fourth, gateway_count=1 + seed % 5)
    return replace(base, gateway_index=0)


class RandomEvents:
    """A source of events for a policy, which reacts to what the policy asks for."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.settings = settings_of(seed)
        self.policy = RolloutPolicy(self.settings, seed)
        self.peer = RolloutPolicy(replace(self.settings, gateway_index=1), seed + 1)
        self.now = 0.0
        self.actions: list[tuple[float, Action]] = []
        self._attempts: dict[tuple[int, int], tuple[Send, float]] = {}
        self._attempt_counts: dict[int, int] = {}
        self._open: dict[int, Request] = {}
        self._timers: list[tuple[float, int]] = []
        self._gossip: list[bytes] = []
        self._votes: list[Vote] = []
        self._probes: list[int] = []
        self._servers: dict[int, ServerEntry] = {}
        self._version = 0
        self._rollout = RolloutUpdate(41, 2, Phase.RELEASED, 1.0, 0.0)
        self._last_request = 0
        self._kinds = (
            (self._request, 40.0),
            (self._outcome, 40.0),
            (self._probe_result, 3.0),
            (self._response_started, 2.0),
            (self._client_disconnected, 1.0),
            (self._endpoint_update, 2.0),
            (self._watch, 1.0),
            (self._rollout_update, 0.12),
            (self._vote_reply, 2.0),
            (self._gossip_received, 3.0),
            (self._statistics, 0.7),
            (self._incorrect_response, 0.3),
        )

    def run(self) -> list[tuple[float, Action]]:
        """Return all actions of the policy, with their times."""
        self._servers = {n: self._new_server(n, 41) for n in range(6)}
        self._handle(EndpointUpdate(EndpointUpdateKind.CACHED, 0, tuple(self._servers.values())))
        self._handle(self._rollout)
        makers, weights = [kind for kind, _ in self._kinds], [weight for _, weight in self._kinds]
        for _ in range(EVENT_COUNT):
            self.now += self.rng.expovariate(1 / MEAN_STEP_MS)
            self._fire_timers()
            event = self.rng.choices(makers, weights)[0]()
            if event is not None:
                self._handle(event)
        return self.actions

    def _handle(self, event: Event) -> None:
        for action in self.policy.handle(self.now, event):
            self.actions.append((self.now, action))
            self._take(action)
        if isinstance(event, EndpointUpdate | RolloutUpdate):
            self.peer.handle(self.now, event)

    def _take(self, action: Action) -> None:
        match action:
            case Send():
                number = self._attempt_counts.get(action.request, 0)
                self._attempt_counts[action.request] = number + 1
                self._attempts[action.request, number] = action, self.now
            case Reject(request) | Fail(request):
                self._open.pop(request, None)
            case Cancel(request, attempt):
                if (request, attempt) in self._attempts:
                    self._handle(self._end_attempt(request, attempt, Result.CANCELLED))
            case SetTimer(delay_ms, token):
                self._timers.append((self.now + delay_ms, token))
            case Probe(server):
                self._probes.append(server)
            case Vote():
                self._votes.append(action)
            case SendGossip(_, data):
                self._gossip.append(data)
            case _:
                pass

    def _fire_timers(self) -> None:
        due = sorted(timer for timer in self._timers if timer[0] <= self.now)
        self._timers = [timer for timer in self._timers if timer[0] > self.now]
        for _, token in due:
            self._handle(Timer(token))
            for action in self.peer.handle(self.now, Timer(token)):
                if isinstance(action, SendGossip):
                    self._gossip.append(action.data)

    # Requests

    def _request(self) -> Event:
        self._last_request += 1
        class_index = self.rng.randrange(len(self.settings.classes))
        deadline_ms = self.now + self.settings.classes[class_index].deadline_ms
        prior: tuple[PriorAttempt, ...] = ()
        if self.rng.random() < 0.05 and self._servers:
            server = self.rng.choice(list(self._servers.values()))
            prior = (PriorAttempt(server.server, server.build, server.zone, server.cell, self.now - 50.0),)
        request = Request(
            self._last_request,
            class_index,
            0,
            self.rng.randrange(12),
            deadline_ms,
            client_retry=self.rng.random() < 0.1,
            adopted=bool(prior),
            prior_attempt_count=len(prior),
            prior_attempts=prior,
        )
        self._open[request.request] = request
        return request

    def _outcome(self) -> Event | None:
        underway = [key for key, (_, sent_at) in self._attempts.items() if sent_at < self.now]
        if not underway:  # no response takes no time
            return None
        request, attempt = self.rng.choice(underway)
        entry = self._servers.get(self._attempts[request, attempt][0].server)
        failure_rate = BAD_BUILD_FAILURES if entry and entry.build % 2 == 0 else FAILURES
        bad = self.rng.random() < failure_rate
        return self._end_attempt(request, attempt, self.rng.choice(BAD_RESULTS) if bad else Result.OK)

    def _end_attempt(self, request: int, attempt: int, result: Result) -> Outcome:
        send, sent_at = self._attempts.pop((request, attempt))
        complete = result is Result.OK and request in self._open
        if complete:
            del self._open[request]
        load = (float(self.rng.randrange(9)),) if self.rng.random() < 0.2 else ()
        return Outcome(request, attempt, send.server, result, self.now - sent_at, complete, load)

    def _response_started(self) -> Event | None:
        started = [key for key in self._attempts if key[0] in self._open]
        if not started:
            return None
        request, attempt = self.rng.choice(started)
        send, sent_at = self._attempts[request, attempt]
        return ResponseStarted(request, attempt, send.server, self.now - sent_at)

    def _client_disconnected(self) -> Event | None:
        if not self._open:
            return None
        request = self.rng.choice(list(self._open))
        del self._open[request]
        return ClientDisconnected(request)

    def _probe_result(self) -> Event | None:
        if not self._probes:
            return None
        result = Result.OK if self.rng.random() < 0.8 else Result.CONNECT_FAILED
        return ProbeResult(self._probes.pop(0), result, 3.0, (1.0, 20.0))

    # Endpoints

    def _new_server(self, number: int, build: int, started_ms: float = 0.0) -> ServerEntry:
        weight = 1.0 + number % 2
        return ServerEntry(
            number,
            number % 3,
            number % 2,
            ServerState.READY,
            build,
            started_ms,
            number % 2,
            weight,
            started_ms,
        )

    def _endpoint_update(self) -> Event:
        self._version += 1
        as_of_ms = self._as_of()
        failed = (EndpointUpdateKind.FAILED, EndpointUpdateKind.TIMED_OUT, EndpointUpdateKind.BROKEN)
        if self.rng.random() < 0.2:
            return EndpointUpdate(self.rng.choice(failed), self._version, (), as_of_ms)
        changed = self._change_server()
        if self.rng.random() < 0.5:
            return EndpointUpdate(EndpointUpdateKind.INCREMENTAL, self._version, (changed,), as_of_ms)
        return EndpointUpdate(EndpointUpdateKind.FULL, self._version, tuple(self._servers.values()), as_of_ms)

    def _as_of(self) -> float | None:
        return self.now - self.rng.random() * 3000.0 if self.settings.must_poll else None

    def _change_server(self) -> ServerEntry:
        if len(self._servers) < 10 and self.rng.random() < 0.6:
            number = 100 + self._version
            entry = self._new_server(number, self._rollout.build, self.now)
            self._servers[number] = entry
            return entry
        number = self.rng.choice(list(self._servers))
        state = self.rng.choice((ServerState.DRAINING, ServerState.REMOVED, ServerState.READY))
        entry = replace(self._servers[number], state=state)
        if state is ServerState.REMOVED:
            del self._servers[number]
        else:
            self._servers[number] = entry
        return entry

    def _watch(self) -> Event:
        if self.rng.random() < 0.6:
            return EndpointWatchOpened(4000.0, self.now - 100.0)
        return EndpointWatchClosed(self.now - 50.0 if self.rng.random() < 0.7 else None)

    # Rollouts

    def _rollout_update(self) -> Event:
        current = self._rollout
        if current.phase in (Phase.RELEASED, Phase.ROLLED_BACK):
            self._rollout = RolloutUpdate(current.build + 1, 0, Phase.TRIAL, 0.1, 20.0)
            self._start_trial_servers()
        elif current.phase is Phase.ROLLING_BACK:
            self._rollout = replace(current, phase=Phase.ROLLED_BACK)
        elif self.rng.random() < 0.3:
            self._rollout = replace(current, phase=Phase.ROLLING_BACK, cap=0.0)
        elif current.stage == 2:
            self._rollout = replace(current, phase=Phase.RELEASED, cap=1.0)
        else:
            self._rollout = replace(current, stage=current.stage + 1, cap=(0.1, 0.5, 1.0)[current.stage + 1])
        return self._rollout

    def _start_trial_servers(self) -> None:
        self._version += 1
        entries = [self._new_server(100 * self._version + n, self._rollout.build) for n in range(3)]
        self._servers |= {entry.server: entry for entry in entries}
        self._handle(
            EndpointUpdate(EndpointUpdateKind.INCREMENTAL, self._version, tuple(entries), self._as_of())
        )

    def _vote_reply(self) -> Event | None:
        if not self._votes:
            return None
        vote = self._votes.pop(0)
        result = self.rng.choice((Result.OK, Result.OK, Result.REJECTED, Result.NOT_SENT, Result.TIMEOUT))
        return replace(self._rollout, build=vote.build, stage=vote.stage, result=result, is_vote_reply=True)

    def _gossip_received(self) -> Event:
        if self._gossip and self.rng.random() < 0.9:
            return GossipReceived(1, self._gossip.pop(0))
        return GossipReceived(2, self.rng.randbytes(self.rng.randrange(40)))

    def _statistics(self) -> Event:
        attempts = self.rng.randrange(60)
        failed = self.rng.randrange(attempts + 1) // 5
        class_index = self.rng.randrange(len(self.settings.classes))
        return BuildStatistics(self._rollout.build, class_index, attempts, failed, 90.0, 800.0)

    def _incorrect_response(self) -> Event | None:
        if not self._servers:
            return None
        return IncorrectResponse(self.rng.choice(list(self._servers)), 0, 300.0)
