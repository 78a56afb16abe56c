"""Choosing a server for a request and sending it there, where `send_permission` allows it."""

from statistics import fmean

from meadowpulley.interface import Phase, Probe, ProbeResult, Result, Send
from meadowpulley.policy.endpoint_lease import lease_basis
from meadowpulley.policy.endpoints import LOCAL_ZONE_FRACTION, cap_and_stage, is_on_trial
from meadowpulley.policy.outlier_detection import is_available
from meadowpulley.policy.send_permission import may_send, write_by
from meadowpulley.state import Attempt, InFlightRequest, Server, State

TRIAL_CAP_FRACTION = 0.8  # of the cap: leaves some for requests bound by their key or without another server
ROLLBACK_UTILIZATION = 0.75  # of the baseline servers, up to which a build that is rolled back gets nothing
EVALUATION_INTERVAL_MS = 400.0  # between two evaluations of a build
STICKY_EWMA_WEIGHT = 0.02  # weight of the newest request in the share of those that follow their key
SPARSE_LOAD = 0.3  # own requests in flight per server, below which two servers are probed first
TIE_BREAK_LOAD = 0.5  # requests: the mean of the random load that tells equally loaded servers apart


def _trial_probability(state: State) -> float:
    """Return the probability that a request whose key binds it to no build goes to the trial build."""
    trial, baseline = state.trial_servers, state.baseline_servers
    cap, _ = cap_and_stage(state, trial[0].build)
    if state.now >= state.trial_probability_until:  # capacities change slowly: computed a few times a second
        state.trial_probability_until = state.now + EVALUATION_INTERVAL_MS
        trial_capacity, baseline_capacity = [state.capacity(s, slow_start_power=2) for s in (trial, baseline)]
        total, rollout = trial_capacity + baseline_capacity, state.furthest_rollout
        if rollout is not None and rollout.phase is Phase.ROLLING_BACK:  # beyond the baseline's capacity
            needed = max(1 - baseline_capacity / (ROLLBACK_UTILIZATION * total), 0.0)
            state.trial_probability = min(needed, cap)
        else:
            state.trial_probability = min(TRIAL_CAP_FRACTION * cap, trial_capacity / total)
    paused = state.traffic_pause.active and len(trial) < len(baseline)
    probability = 0.0 if paused else state.trial_probability
    return max(probability - state.sticky_share, 0.0) / max(1 - state.sticky_share, 0.01)


def _candidates(state: State, in_flight: InFlightRequest, group: list[Server], size: int) -> list[Server]:
    """Return the servers that the request may go to: two of a random sample, or the placement's first."""
    if placement := state.placements.get(in_flight.request.arm):
        order = placement(state.now, in_flight.request, [state.as_candidate(s) for s in group])
        drawn, subset, limit = [group[n] for n in order][:size], dict[int, float](), 1
    else:
        drawn = state.rng.sample(group, min(size, len(group)))
        subset, limit = state.subset(group, LOCAL_ZONE_FRACTION), 2
    attempted, allowed = in_flight.attempted_servers, list[Server]()
    for server in sorted(drawn, key=lambda s: (s.id in attempted, s.id not in subset)):
        if len(allowed) < limit and is_available(state, server) and may_send(state, in_flight, server):
            allowed.append(server)
    return [s for s in allowed if s.id not in attempted] or allowed  # chance chooses none twice


def route(state: State, in_flight: InFlightRequest) -> bool:
    """Choose a server and send the request there, or probe two; return whether it was sent."""
    trial, baseline, limits = state.trial_servers, state.baseline_servers, state.settings.limits
    sticky = bool(trial) and state.sticky_builds.get(in_flight.request.key, -1) >= trial[0].build
    state.sticky_share += STICKY_EWMA_WEIGHT * (sticky - state.sticky_share)
    randomized = bool(trial and baseline) and not sticky
    to_trial = bool(trial) and (not baseline or state.rng.random() < _trial_probability(state))
    preferred, other = (trial, baseline) if to_trial else (baseline, trial)
    # What a trial server in slow start may not have goes to the baseline, where parts are whole requests.
    few = randomized and to_trial and 2 * state.gateway_count < state.peak_ready_servers
    candidates = _candidates(state, in_flight, preferred, 2 if few else len(preferred))
    if not candidates and trial and baseline:
        randomized = False
        candidates = _candidates(state, in_flight, other, len(state.servers))
    load = min(len(state.attempts) / max(len(state.servers), 1), 1.0)
    first = not in_flight.attempt_count and not in_flight.probed_servers
    if len(candidates) > 1 and limits.probes and load < SPARSE_LOAD and first:
        in_flight.probed_servers, in_flight.randomized = [s.id for s in candidates], randomized
        state.actions += [Probe(s.id) for s in candidates]  # own counts are too low to tell
        return False
    # Idle servers are chosen by chance, in proportion to what each can do.
    ties = [s.outstanding + TIE_BREAK_LOAD * state.rng.expovariate(1.0) for s in candidates]
    loads = [t / state.relative_capacity(s) ** (2 - load) for s, t in zip(candidates, ties, strict=True)]
    if candidates:
        queue_length = fmean([s.outstanding for s in candidates])
        _send(state, in_flight, candidates[loads.index(min(loads))], queue_length, randomized)
    return bool(candidates)


def handle_probe_result(state: State, result: ProbeResult) -> None:
    """Send the requests that wait for the probe: the first server to answer has the shorter queue."""
    server, ok = state.servers.get(result.server), result.result is Result.OK
    for in_flight in [waiting for waiting in state.waiting if ok and result.server in waiting.probed_servers]:
        if server and may_send(state, in_flight, server):
            state.waiting.remove(in_flight)
            _send(state, in_flight, server, server.outstanding, in_flight.randomized)


def _send(state: State, in_flight: InFlightRequest, server: Server, queue: float, randomized: bool) -> None:
    fraction, write_by_ms = state.slow_start_fraction(server), write_by(state, in_flight, server)
    state.lease_bases[lease_basis(state).value] += 1
    state.add_attempt(Attempt(in_flight, server, queue, state.now, fraction, randomized))
    if is_on_trial(state, server.build):
        state.build_evidence[server.build].sent_windows[in_flight.exposure_class].add(state.now)
    # No early time-out: at many sites abandoned work runs on, and repeats feed an overload.
    state.actions.append(Send(in_flight.request.request, server.id, write_by_ms=write_by_ms))
