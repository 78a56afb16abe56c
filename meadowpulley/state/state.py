"""The complete state of one gateway's policy, and the bookkeeping on it.

This module makes no decisions. The only tuned constants here set how much data is kept and for how long.
"""

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
from meadowpulley.state.endpoint_list import EndpointListState
from meadowpulley.state.gossip import GossipState, OutcomeCounts
from meadowpulley.state.requests import Attempt, InFlightRequest
from meadowpulley.state.rollout import BuildEvidence, progress
from meadowpulley.state.servers import Server
from meadowpulley.state.traffic_pause import TrafficPause
from meadowpulley.state.votes import VoteState

MAX_SAMPLES = 600  # maximum number of attempts kept as samples of latency cost
CONFIRMATION_SEED = 2  # added to the seed for the separate random generator of list confirmation
RATE_MEMORY_MS = 4000.0  # time constant of the request rate and of the goodput, in ms
NO_BUILD = -1
# Maximum number of keys stored with the build they are bound to. With more, all keys count as bound to the
# build that answered last, so that older builds get no requests with a key.
MAX_STORED_KEYS = 40_000


class State:
    """The state of one gateway's policy; the policy itself sets the fields that depend on tuned values.

    Times are milliseconds on the clock of the events, and rates are per millisecond.
    """

    confidence_z: float  # number of standard errors from an estimate to its confidence bounds
    required_evidence: float  # log likelihood ratio of failures at which a build is rolled back
    subset_size: float  # number of servers to which this gateway prefers to send; infinite: all
    waiting_poll_interval_ms: float  # interval between two checks of waiting requests
    retry_budget: float  # number of retries that may be sent now
    build_evidence: defaultdict[int, BuildEvidence]
    gossip: GossipState
    placements: dict[int, Placement]  # placement by experiment arm; arm 0 uses the policy's own order

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start with empty state; all random numbers are derived from the seed."""
        self.settings = settings
        self.rules = settings.rules
        self.rollout_settings = settings.rollout
        self.rng = Random(seed)
        self.gateway_count = max(settings.gateway_count, 1)
        objectives = [request_class.latency_objective_ms for request_class in settings.classes]
        self.tightest_objective_ms = min(objectives, default=0.0)
        self.retry_after_ms = settings.limits.retry_after * settings.limits.max_retry_after_ms
        self.now = 0.0
        self.resumed_at = -math.inf  # when this gateway last resumed after a stall of its process
        self.timer_at = math.inf
        self.evaluate_at = math.inf
        self.actions: list[Action] = []
        self._init_servers(settings, seed)
        self._init_requests()
        self._init_rollout(settings)

    def _init_servers(self, settings: Settings, seed: int) -> None:
        self.servers: dict[int, Server] = {}
        # The ready servers are kept in one list per arm, so that no request has to scan the whole fleet.
        self.trial_servers: list[Server] = []
        self.baseline_servers: list[Server] = []
        self.peak_ready_servers = 1
        # Exponentially weighted moving average of latency in ms, by machine kind. Latencies of servers in
        # slow start are scaled down to those of warmed-up servers.
        self.kind_latency_ms: dict[int, float] = {}
        self.endpoint_list = EndpointListState(settings.must_poll)
        self.confirmation = ConfirmationState(Random(seed + CONFIRMATION_SEED))
        # Number of refused sends, by the name of the rule that refused them.
        self.send_refusals: Counter[str] = Counter()
        # Number of sends by what allowed them: the lease on the endpoint list, or a reply by which another
        # gateway confirmed the server.
        self.sends_by_lease_basis: Counter[str] = Counter()

    def _init_requests(self) -> None:
        self.in_flight: dict[int, InFlightRequest] = {}
        self.waiting: list[InFlightRequest] = []
        # Outstanding attempts by request and attempt number, oldest first.
        self.attempts: dict[tuple[int, int], Attempt] = {}
        # The first attempts of the latest requests: samples of latency cost.
        self.latency_samples: deque[Attempt] = deque(maxlen=MAX_SAMPLES)
        # Arrival rate of requests; retries by clients and adopted requests are not counted.
        self.request_rate = DecayingRate(RATE_MEMORY_MS)
        self.goodput = DecayingRate(RATE_MEMORY_MS)
        self.mean_latency_ms = 0.0  # exponentially weighted mean latency of all servers
        self.concurrency_limit = math.inf

    def _init_rollout(self, settings: Settings) -> None:
        # The rollout update received last. The platform's rules, such as the exposure cap, refer to this
        # update.
        self.latest_rollout: RolloutUpdate | None = None
        # The most advanced state of a rollout received so far, as ordered by `progress`. Evaluation and votes
        # refer to this state.
        self.furthest_rollout: RolloutUpdate | None = None
        self.baseline_build = NO_BUILD  # the build that the newest build is compared with
        self.rollback_build = NO_BUILD  # the build that this gateway votes to roll back
        self.trial_started_at = 0.0
        self.stage_started_at = 0.0
        # Mean latency cost in ms before the newest build's trial. Attempts at the baseline update this mean
        # while they are not slower than the mean and the newest build gets too little traffic to slow them
        # down.
        self.baseline_latency_ms = 0.0
        self.baseline_request_rate = 0.0  # highest request rate in the first stage of the newest build
        self.trial_probability = 0.0
        self.trial_probability_valid_until = -math.inf
        self.sticky_share = 0.0  # share of requests whose key binds them to the trial build
        # Arrivals of requests by exposure class, counted for the exposure cap.
        self.request_windows = event_windows(settings.rollout.exposure_window_ms)
        # Newest build that may have responded to each key; used only if the setting `monotonic_keys` is on.
        self.sticky_builds: dict[int, int] = {}
        # Number of the oldest build that a key may go to. Key bindings to `oldest_sticky_build` and to older
        # builds were dropped, so a key without an entry in `sticky_builds` counts as bound to
        # `oldest_sticky_build`.
        self.oldest_sticky_build = NO_BUILD
        self.traffic_pause = TrafficPause()
        # Outcomes not yet counted as evidence, each with the time from which the outcome counts.
        self.pending_outcomes: deque[tuple[float, OutcomeCounts]] = deque()
        exchanges_gossip = settings.limits.gossip and self.gateway_count > 1
        self.gossip_at = -math.inf if exchanges_gossip else math.inf
        self.vote_state = VoteState()

    # Servers

    def apply_endpoints(self, update: EndpointUpdate) -> None:
        """Update the servers from an endpoint list.

        A server that restarted or that runs another build is stored as a new `Server`.
        """
        listed = {entry.server: entry for entry in update.entries}
        if update.kind is not EndpointUpdateKind.INCREMENTAL:
            self.servers = {number: server for number, server in self.servers.items() if number in listed}
        for number, entry in listed.items():
            server = self.servers.get(number)
            if not server or (server.build, server.started_ms) != (entry.build, entry.started_ms):
                server = self.servers[number] = Server(entry)
            server.state = entry.state
            server.cell = entry.cell
            server.zone = entry.zone
            if entry.state is ServerState.REMOVED:
                del self.servers[number]

    def ready_servers(self) -> list[Server]:
        """Return the servers that accept requests, sorted by number."""
        return [server for _, server in sorted(self.servers.items()) if server.is_ready]

    def servers_of(self, build: int) -> list[Server]:
        """Return the servers that run a build, ready or not."""
        return [server for server in self.servers.values() if server.build == build]

    def slow_start_fraction(self, server: Server, age_offset_ms: float = 0.0) -> float:
        """Return a lower bound of a server's capacity at its age, as a fraction of its warmed-up capacity.

        The fraction is from 0 to 1. `age_offset_ms` is first subtracted from the server's age.
        """
        age_ms = max(self.now - server.started_ms - age_offset_ms, 0.0)
        if not server.started_ms or age_ms >= self.rules.slow_start_ms:
            return 1.0
        initial = self.rules.slow_start_initial_fraction
        return initial + (1 - initial) * age_ms / self.rules.slow_start_ms

    def relative_capacity(self, server: Server) -> float:
        """Return a server's capacity relative to a warmed-up server of the fastest machine kind.

        A kind with a latency of 0, by a clock that did not advance, can't be compared with others: it counts
        as fastest, and the other kinds are compared without it.
        """
        latency_ms = self.kind_latency_ms.get(server.kind, 0.0)
        speed = min(filter(None, self.kind_latency_ms.values())) / latency_ms if latency_ms else 1.0
        return self.slow_start_fraction(server) * speed

    def capacity(self, servers: list[Server], slow_start_power: int) -> float:
        """Return the sum of the servers' relative capacities, with slow start fractions raised to a power.

        A power above 1 gives servers in slow start less weight, since such servers are slow at any load.
        """
        capacity = 0.0
        for server in servers:
            factor = self.slow_start_fraction(server) ** (slow_start_power - 1)
            capacity += self.relative_capacity(server) * factor
        return capacity

    def as_candidate(self, server: Server) -> Candidate:
        """Return the data that a placement policy gets on a server."""
        latency_ms = self.kind_latency_ms.get(server.kind, 0.0)
        return server.as_candidate(self.slow_start_fraction(server), latency_ms, self.settings.zone)

    # Requests and attempts

    def admit(self, request: Request) -> InFlightRequest:
        """Record a request that arrives now; an adopted request was already counted by its first gateway."""
        request_class = self.settings.classes[request.class_index]
        per_class = self.rollout_settings.exposure_per_class
        in_flight = InFlightRequest(request, request_class, self.now, per_class)
        self.in_flight[request.request] = in_flight
        counts = not (request.client_retry or request.adopted)
        self.request_rate.add(self.now, float(counts))
        if not request.adopted:
            self.request_windows[in_flight.exposure_class].add(self.now)
        for previous in in_flight.possible_executions:
            self.bind_key(in_flight, previous.server.build)
        return in_flight

    def add_attempt(self, attempt: Attempt) -> None:
        """Record an attempt that is sent now, and update the counts of its server and its request."""
        if attempt.in_flight.attempt_count == 0:
            self.latency_samples.append(attempt)
        self.attempts[attempt.in_flight.request.request, attempt.number] = attempt
        attempt.server.outstanding += 1
        attempt.server.slow_start_budget -= 1
        attempt.in_flight.add_attempt(attempt)

    def finish_attempt(self, request: int, number: int) -> Attempt | None:
        """Remove and return an outstanding attempt; return None if no such attempt is outstanding."""
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
        """Add the latency of a response to the moving averages of all servers and of the machine kind."""
        average = self.mean_latency_ms
        self.mean_latency_ms += weight * (elapsed_ms - average) if average else elapsed_ms
        warm_ms = elapsed_ms * attempt.slow_start_fraction
        kind = attempt.server.kind
        self.kind_latency_ms[kind] = self.kind_latency_ms.get(kind, warm_ms) * (1 - weight) + weight * warm_ms

    def record_response_start(self, event: ResponseStarted) -> None:
        """Record that part of a response went to the client, so that no other response can be sent."""
        if event.request in self.in_flight:
            self.in_flight[event.request].streaming = True

    def bind_key(self, in_flight: InFlightRequest, build: int) -> None:
        """Record that a build may have responded to a request, so that its key goes to no older build."""
        key = in_flight.request.key
        if key and build > self.oldest_sticky_build and self.rollout_settings.monotonic_keys:
            self.sticky_builds[key] = max(build, self.sticky_builds.get(key, 0))
            if len(self.sticky_builds) > MAX_STORED_KEYS:
                self.forget_sticky_builds(build)

    def forget_sticky_builds(self, newest: int) -> None:
        """Drop the keys bound to builds up to `newest`; no key may go to a build older than `newest`."""
        self.oldest_sticky_build = newest
        self.sticky_builds = {key: build for key, build in self.sticky_builds.items() if build > newest}

    # Rollouts

    def apply_rollout(self, update: RolloutUpdate) -> None:
        """Process an update on the newest build's rollout.

        Every update is stored in `latest_rollout`, which the platform's rules refer to. An update that
        arrives late, with a state earlier than `furthest_rollout`, does not replace `furthest_rollout`.
        """
        furthest = self.furthest_rollout
        self.latest_rollout = update
        if furthest is None or update.build > furthest.build:
            self._begin_trial(update)
        if furthest is None or progress(update) > progress(furthest):
            self.stage_started_at = self.now - update.age_ms
            self.furthest_rollout = update

    def _begin_trial(self, rollout: RolloutUpdate) -> None:
        """Begin the trial of a newer build, and reset the state of the previous trial."""
        self.trial_started_at = self.now
        self.trial_probability = 0.0
        self.baseline_request_rate = 0.0
        self.traffic_pause.active = False
        self.traffic_pause.slow_since = math.inf
        self.gossip.unpublished.clear()
        costs = [sample.latency_cost(self.now) for sample in self.latency_samples]
        self.baseline_latency_ms = fmean(costs or [0.0])
        previous = self.furthest_rollout
        if previous is not None and previous.phase is Phase.RELEASED:
            self.baseline_build = previous.build
        self._release_keys_between(self.baseline_build, rollout.build)
        for build in [b for b in self.build_evidence if b < rollout.build and b != self.baseline_build]:
            del self.build_evidence[build]

    def _release_keys_between(self, baseline_build: int, newest_build: int) -> None:
        """Unbind keys from builds between the baseline and the newest, since those were rolled back."""
        self.oldest_sticky_build = min(self.oldest_sticky_build, baseline_build)
        self.sticky_builds = {
            key: build
            for key, build in self.sticky_builds.items()
            if build <= baseline_build or build >= newest_build
        }

    def set_timer(self, due_at: float, token: int) -> None:
        """Set the timer to a time in ms, unless the timer is already set to an earlier time."""
        if due_at < self.timer_at:
            self.timer_at = due_at
            self.actions.append(SetTimer(due_at - self.now, token))
