"""All that the policy of one gateway keeps, with the bookkeeping on it. Nothing here decides or is tuned."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from random import Random
from statistics import fmean

from meadowpulley.interface import (
    Action,
    Candidate,
    EndpointUpdate,
    EndpointUpdateKind,
    Phase,
    Placement,
    Request,
    ResponseStarted,
    RolloutUpdate,
    ServerState,
    SetTimer,
    Settings,
)
from meadowpulley.state.averages import DecayingRate, event_windows
from meadowpulley.state.confirmation import ConfirmationState
from meadowpulley.state.gossip import GossipState, OutcomeCounts
from meadowpulley.state.requests import Attempt, InFlightRequest
from meadowpulley.state.rollout import BuildEvidence, TrafficPause, VoteState, progress
from meadowpulley.state.servers import Server

MAX_SAMPLES = 600  # attempts kept as samples of latency cost
CONFIRMATION_SEED = 2  # added to the seed: the draws of confirmations are a stream of their own
RATE_MEMORY_MS = 4000.0  # time constant of the request rate and of the goodput


class State:
    """All that one gateway's policy knows; the policy sets what depends on its tuned values."""

    confidence_z: float  # standard errors between an estimate and its bounds
    required_evidence: float  # log likelihood ratio of failing that condemns a build
    subset_size: float  # how many servers this gateway prefers
    poll_interval_ms: float  # between two looks at waiting requests
    build_evidence: defaultdict[int, BuildEvidence]
    gossip: GossipState
    placements: dict[int, Placement]  # by arm; arm 0 is the policy's own choice

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rules, self.rollout_settings = settings, settings.rules, settings.rollout
        self.rng, self.gateway_count = Random(seed), max(settings.gateway_count, 1)
        self.tightest_objective_ms = min((c.latency_objective_ms for c in settings.classes), default=0.0)
        self.retry_after_ms = settings.limits.retry_after * settings.limits.max_retry_after_ms
        self.now = 0.0
        self.resumed_at = -math.inf  # when this gateway last resumed after a stall
        self.timer_at = self.evaluate_at = math.inf
        self.actions: list[Action] = []
        self._init_servers(settings, seed)
        self._init_requests()
        self._init_rollout(settings)

    def _init_servers(self, settings: Settings, seed: int) -> None:
        self.servers: dict[int, Server] = {}
        self.trial_servers: list[Server] = []  # ready ones, so that no request looks at the whole fleet
        self.baseline_servers: list[Server] = []
        self.peak_ready_servers = 1
        self.kind_latency_ms: dict[int, float] = {}  # typical latency by kind of machine, as if warmed up
        self.resubscribe_at = -math.inf if settings.must_poll else math.inf  # when to ask for the list
        self.list_failures = 0
        self.list_confirmed_at = -math.inf  # the endpoint list holds all changes up to then
        self.watch_covers_until = -math.inf  # by then discovery responds to the call that is out
        self.list_lost_at = -math.inf  # when a list was last lost that discovery may have written
        self.confirmation = ConfirmationState(Random(seed + CONFIRMATION_SEED))
        self.send_refusals: Counter[str] = Counter()  # how often which rule did not allow a send
        self.lease_bases: Counter[str] = Counter()  # how many sends which knowledge of the server allowed
        self.list_lease_expired = False  # as it was last logged

    def _init_requests(self) -> None:
        self.in_flight: dict[int, InFlightRequest] = {}
        self.waiting: list[InFlightRequest] = []
        self.attempts: dict[tuple[int, int], Attempt] = {}  # by request and number, oldest first
        self.samples: deque[Attempt] = deque(maxlen=MAX_SAMPLES)
        self.request_rate = DecayingRate(RATE_MEMORY_MS)  # without the clients' own retries
        self.goodput = DecayingRate(RATE_MEMORY_MS)
        self.mean_latency_ms = 0.0  # exponentially weighted moving average
        self.retry_budget, self.concurrency_limit = 1.0, math.inf

    def _init_rollout(self, settings: Settings) -> None:
        self.latest_rollout: RolloutUpdate | None = None  # the last update, for the rules
        self.furthest_rollout: RolloutUpdate | None = (
            None  # the furthest state known, for evaluation and votes
        )
        self.baseline_build = self.rollback_build = -1  # of the newest build; the one to be rolled back
        self.trial_started_at = self.stage_started_at = 0.0
        self.baseline_latency_ms = self.baseline_request_rate = 0.0  # before the newest build
        self.trial_probability = 0.0
        self.trial_probability_until = -math.inf  # it is computed anew by then
        self.sticky_share = 0.0  # share of requests whose key binds them to the trial build
        self.request_windows = event_windows(settings.rollout.exposure_window_ms)  # requests, for exposure
        self.sticky_builds: dict[int, int] = {}  # monotonic keys: the build that may have answered each
        self.oldest_sticky_build = -1  # no key goes to an older one: what these answered is forgotten
        self.traffic_pause = TrafficPause()
        self.pending_outcomes: deque[tuple[float, OutcomeCounts]] = deque()  # when to count which
        self.gossip_at = -math.inf if settings.limits.gossip and self.gateway_count > 1 else math.inf
        self.vote_state = VoteState()

    def apply_endpoints(self, update: EndpointUpdate) -> None:
        """Take in the servers of an update; a restart or another build makes a new server."""
        named = {entry.server: entry for entry in update.entries}
        if update.kind is not EndpointUpdateKind.INCREMENTAL:
            self.servers = {n: server for n, server in self.servers.items() if n in named}
        for number, entry in named.items():
            server = self.servers.get(number)
            if not server or (server.build, server.started_ms) != (entry.build, entry.started_ms):
                server = self.servers[number] = Server(entry)
            server.state, server.cell, server.zone = entry.state, entry.cell, entry.zone
            if entry.state is ServerState.REMOVED:
                del self.servers[number]

    def ready_servers(self) -> list[Server]:
        """Return the servers that take requests, by number."""
        return [server for _, server in sorted(self.servers.items()) if server.is_ready]

    def slow_start_fraction(self, server: Server, age_offset_ms: float = 0.0) -> float:
        """Return the least fraction of its capacity that a server has at its age less the offset."""
        age_ms = max(self.now - server.started_ms - age_offset_ms, 0.0)
        if not server.started_ms or age_ms >= self.rules.slow_start_ms:
            return 1.0
        initial = self.rules.slow_start_initial_fraction
        return initial + (1 - initial) * age_ms / self.rules.slow_start_ms

    def relative_capacity(self, server: Server) -> float:
        """Return what a server can do by its age and its kind's latency, relative to the fastest kind."""
        latency_ms = self.kind_latency_ms.get(server.kind, 0.0)
        speed = min(self.kind_latency_ms.values()) / latency_ms if latency_ms else 1.0
        return self.slow_start_fraction(server) * speed

    def subset(self, group: list[Server], local_fraction: float) -> dict[int, float]:
        """Return this gateway's subset of a group, and how many times an average part of each is its own.

        Subsets are windows over the servers by the gateway's index, one in its zone, which holds the given
        fraction, and one elsewhere. Empty where all servers are used.
        """
        subset: dict[int, float] = {}
        if self.subset_size >= len(group):
            return subset
        for local, fraction in ((True, local_fraction), (False, 1 - local_fraction)):
            servers = [s.id for s in group if (s.zone == self.settings.zone) is local]
            start = self.settings.gateway_index * len(servers) // self.gateway_count
            size = math.ceil(self.subset_size * fraction)
            part = fraction * len(group) / min(size, len(servers) or 1)
            subset |= dict.fromkeys((servers + servers)[start : start + size], part)
        return subset

    def capacity(self, servers: list[Server], slow_start_power: int) -> float:
        """Return the capacity of the servers together, with the slow start fraction of each to a power.

        A power above 1 says that a server in slow start is slow at any load.
        """
        factor = [self.slow_start_fraction(server) ** (slow_start_power - 1) for server in servers]
        return sum([self.relative_capacity(s) * f for s, f in zip(servers, factor, strict=True)], 0.0)

    def servers_of(self, build: int) -> list[Server]:
        """Return the servers that run the build."""
        return [server for server in self.servers.values() if server.build == build]

    def as_candidate(self, server: Server) -> Candidate:
        """Return a server as a placement sees it."""
        latency_ms = self.kind_latency_ms.get(server.kind, 0.0)
        return server.as_candidate(self.slow_start_fraction(server), latency_ms, self.settings.zone)

    def admit(self, request: Request) -> InFlightRequest:
        """Record a request that arrives now; an adopted one was counted where it arrived first."""
        request_class = self.settings.classes[request.class_index]
        per_class = self.rollout_settings.exposure_per_class
        in_flight = InFlightRequest(request, request_class, self.now, per_class)
        self.in_flight[request.request] = in_flight
        self.request_rate.value(self.now, 0.0 if request.client_retry or request.adopted else 1.0)
        if not request.adopted:
            self.request_windows[in_flight.exposure_class].add(self.now)
        for previous in in_flight.possible_executions:
            self.bind_key(in_flight, previous.server.build)
        return in_flight

    def add_attempt(self, attempt: Attempt) -> None:
        """Record an attempt that is sent now."""
        if attempt.in_flight.attempt_count == 0:
            self.samples.append(attempt)
        self.attempts[attempt.in_flight.request.request, attempt.number] = attempt
        attempt.server.outstanding += 1
        attempt.server.slow_start_budget -= 1
        attempt.in_flight.add_attempt(attempt)

    def finish_attempt(self, request: int, number: int) -> Attempt | None:
        """Forget an outstanding attempt and return it, or None where it is not known."""
        attempt = self.attempts.pop((request, number), None)
        if attempt is not None:
            attempt.server.outstanding -= 1
            attempt.in_flight.outstanding -= 1
        return attempt

    def outstanding_attempts(self, in_flight: InFlightRequest) -> list[int]:
        """Return the numbers of a request's outstanding attempts."""
        request = in_flight.request.request
        numbers = [attempt.number for attempt in in_flight.possible_executions]
        return [number for number in numbers if (request, number) in self.attempts]

    def record_latency(self, attempt: Attempt, elapsed_ms: float, weight: float) -> None:
        """Take the latency of a response into the moving averages, of all and of its kind of machine."""
        average = self.mean_latency_ms
        self.mean_latency_ms += weight * (elapsed_ms - average) if average else elapsed_ms
        warm_ms = elapsed_ms * attempt.slow_start_fraction
        kind = attempt.server.kind
        self.kind_latency_ms[kind] = self.kind_latency_ms.get(kind, warm_ms) * (1 - weight) + weight * warm_ms

    def mark_streaming(self, event: ResponseStarted) -> None:
        """Note that the client has got a part of a response: no other can be sent for the request."""
        if event.request in self.in_flight:
            self.in_flight[event.request].streaming = True

    def bind_key(self, in_flight: InFlightRequest, build: int) -> None:
        """Note that the build may have answered the request, whose key then goes to no older one."""
        key = in_flight.request.key
        if key and build > self.oldest_sticky_build and self.rollout_settings.monotonic_keys:
            self.sticky_builds[key] = max(build, self.sticky_builds.get(key, 0))

    def forget_sticky_builds(self, newest: int) -> None:
        """Forget which keys are bound to builds up to this one; from now on no key goes to an older one."""
        self.oldest_sticky_build = newest
        self.sticky_builds = {key: build for key, build in self.sticky_builds.items() if build > newest}

    def apply_rollout(self, update: RolloutUpdate) -> None:
        """Take in where the newest build stands; a late update of an earlier state is the latest, not the
        furthest."""
        furthest = self.furthest_rollout
        self.latest_rollout = update
        if furthest is None or update.build > furthest.build:
            self._begin_trial(update)
        if furthest is None or progress(update) > progress(furthest):
            self.stage_started_at = self.now - update.age_ms
            self.furthest_rollout = update

    def _begin_trial(self, rollout: RolloutUpdate) -> None:
        """Begin the trial of a newer build: what is known of the last trial is reset."""
        self.trial_started_at = self.now
        self.trial_probability = self.baseline_request_rate = 0.0
        self.traffic_pause.active, self.traffic_pause.slow_since = False, math.inf
        self.gossip.unpublished.clear()
        self.baseline_latency_ms = fmean([s.latency_cost(self.now) for s in self.samples] or [0.0])
        previous = self.furthest_rollout
        if previous is not None and previous.phase is Phase.RELEASED:
            self.baseline_build = previous.build
        self._release_keys_between(self.baseline_build, rollout.build)
        for build in [b for b in self.build_evidence if b < rollout.build and b != self.baseline_build]:
            del self.build_evidence[build]

    def set_timer(self, due_at: float, token: int) -> None:
        """Set the timer, unless it is set to an earlier time."""
        if due_at < self.timer_at:
            self.timer_at = due_at
            self.actions.append(SetTimer(due_at - self.now, token))

    def _release_keys_between(self, baseline_build: int, newest_build: int) -> None:
        """Forget which keys are bound to builds that were rolled back."""
        self.oldest_sticky_build = min(self.oldest_sticky_build, baseline_build)
        self.sticky_builds = {
            key: build
            for key, build in self.sticky_builds.items()
            if build <= baseline_build or build >= newest_build
        }
