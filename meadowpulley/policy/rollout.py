"""Evaluating the newest build by its latency and its failures, and the votes that follow."""

import math
from statistics import fmean

from meadowpulley.interface import (
    BuildRejected,
    Phase,
    Result,
    RollbackReason,
    RolloutUpdate,
    StageGate,
    Verdict,
    Vote,
)
from meadowpulley.policy.admission import FAILURE_DELAY, POLL_INTERVAL_MS, WARMED_UP
from meadowpulley.policy.endpoints import ROLLBACK_PHASES, partition_servers
from meadowpulley.policy.evidence import MIN_SAMPLES, evidence_ratio
from meadowpulley.policy.outlier_detection import SERVER_FAULT_RATE, UNRESPONSIVE_LATENCIES
from meadowpulley.policy.routing import EVALUATION_INTERVAL_MS
from meadowpulley.state import RATE_MEMORY_MS, Attempt, LatencySamples, Slowdown, State, summarize

MAX_HORIZON = 20  # later requests, at most, whose costs are added to each request's own
MIN_ALPHA = 0.5  # of latency in the mix: a gateway with few requests in flight has no useful queue lengths
LATENCY_MARGIN = 0.25  # of the baseline's mean latency
FALLBACK_MS = 4000.0  # after the latest start of a trial server
MAX_HOLD_MS = 3000.0  # the longest hold of one stage under a timer gate
MIN_PAUSE_PROBABILITY = 0.1  # of the trial build: with less it hardly slows all servers
PAUSE_MEMORY_SOAKS = 2.0  # soak times within which a slowdown that returns with the traffic is the same one
MAX_SLOW_SOAKS = 3.0  # soak times of slowness, without a baseline to compare with, that condemn a build
SERVER_LATENCY_SPREAD = 0.5  # how servers of a kind differ, of the mean latency: load multiplies their speeds
MIN_BLOCK_MS, TRIALS_PER_BLOCK = 1000.0, 2.0  # builds are compared in blocks of so much time and trials
MAX_ADVANCE_EVIDENCE = 0.5  # of the required evidence: no vote to advance above it


def estimate_slowdown(state: State, build: int) -> Slowdown:
    """Bound by how much a build raises the latency of all requests over its baseline's."""
    settled_at = state.now - FAILURE_DELAY * state.mean_latency_ms
    attempts = [a for a in state.samples if state.trial_started_at <= a.sent_at <= settled_at]
    arms = [_arm(attempt, build) for attempt in attempts]
    if 1 not in arms:
        return Slowdown(-math.inf, math.inf, 0.0, 0)
    samples = LatencySamples(attempts, arms, state.now, UNRESPONSIVE_LATENCIES * state.mean_latency_ms)
    request_rate = state.request_rate.value(state.now)
    server_rate = request_rate / max(len(state.servers), 1)
    load = server_rate * state.mean_latency_ms  # by Little's law
    block_ms = max(MIN_BLOCK_MS, TRIALS_PER_BLOCK / max(request_rate * state.trial_probability, 1e-6))
    min_alpha, horizon = 1 - (1 - MIN_ALPHA) * min(load, 1.0), min(math.ceil(load), MAX_HORIZON)
    difference, error, trials, baselines = samples.compare(block_ms, horizon, server_rate, min_alpha)
    # A slow server or two are no slow build. Nor is an overloaded one: the margin grows with its load.
    servers, soak_ms = state.servers_of(build), state.rollout_settings.soak_ms
    warm = max(sum([state.slow_start_fraction(s, soak_ms) >= WARMED_UP for s in servers]), 1)
    error *= 1 + state.confidence_z / math.sqrt(4 * max(min(trials, baselines), 1))  # its own uncertainty
    error = math.hypot(error, SERVER_LATENCY_SPREAD * samples.baseline_mean / math.sqrt(warm))
    crowding = max(trials * max(len(state.servers) - warm, 1) / max(baselines * warm, 1), 1.0)
    width, margin_ms = state.confidence_z * error, LATENCY_MARGIN * samples.baseline_mean * crowding
    return Slowdown(difference - width, difference + width, margin_ms, min(trials, baselines))


def _arm(attempt: Attempt, build: int) -> int:
    warming_up, newer = attempt.slow_start_fraction < WARMED_UP, attempt.server.build > build
    excluded = attempt.unattributable or not attempt.randomized or newer or warming_up
    return -1 if excluded else int(attempt.server.build == build)


def _slower_than_baseline(state: State, attempts: list[Attempt]) -> bool:
    costs = summarize([a.latency_cost(state.now) for a in attempts[-8 * MIN_SAMPLES :]])
    limit_ms = (1 + LATENCY_MARGIN) * state.baseline_latency_ms
    return costs.size >= MIN_SAMPLES and costs.lower_bound(state.confidence_z) > limit_ms > 0


def _suspect_shared_slowdown(state: State, build: int, released: bool) -> bool:
    """Tell whether a build may slow all servers: its traffic is paused then, at the third time for good."""
    pause, usual_ms, soak_ms = state.traffic_pause, state.baseline_latency_ms, state.rollout_settings.soak_ms
    alone = released or not any([s.build < build for s in state.servers.values()])
    memory_ms = 2 * RATE_MEMORY_MS if alone else math.inf  # an overload long over is no slowness
    settled = [a for a in state.samples if 2 * usual_ms < state.now - a.sent_at < memory_ms]
    recent = [a for a in settled if a.sent_at > pause.changed_at and (alone or a.server.build < build)]
    slower, enough = _slower_than_baseline(state, recent), len(recent) >= MIN_SAMPLES
    if alone:
        _check_slow_without_baseline(state, build, slower, recent)
        return slower
    if state.trial_probability < MIN_PAUSE_PROBABILITY / 2 and enough and not slower:  # it slows no others
        state.baseline_latency_ms = fmean([a.latency_cost(state.now) for a in recent])
    elif not pause.active and slower and state.trial_probability >= MIN_PAUSE_PROBABILITY:
        pause.begin(state.now, PAUSE_MEMORY_SOAKS * soak_ms)
        if pause.count > 2:
            _roll_back(
                state, BuildRejected(build, RollbackReason.SHARED_SLOWDOWN, baseline_latency_ms=usual_ms)
            )
    elif pause.active and enough and not slower and state.now - pause.changed_at > 2 * MIN_BLOCK_MS:
        pause.end(state.now)
    unknown = not enough and pause.changed_at > state.stage_started_at
    return pause.active or slower or unknown or _slower_than_baseline(state, settled)


def _check_slow_without_baseline(state: State, build: int, slower: bool, recent: list[Attempt]) -> None:
    """Roll back a build that is slow for longer than faults last, unless by more requests or an overload."""
    pause, usual_ms, soak_ms = state.traffic_pause, state.baseline_latency_ms, state.rollout_settings.soak_ms
    more = state.request_rate.value(state.now) > (1 + 2 * LATENCY_MARGIN) * state.baseline_request_rate
    overload = sum([a.unattributable for a in recent[-2 * MIN_SAMPLES :]]) > MIN_SAMPLES / 2  # hides all else
    pause.slow_since = min(pause.slow_since, state.now) if slower and not (more or overload) else math.inf
    if state.now > pause.slow_since + MAX_SLOW_SOAKS * soak_ms:
        rejected = BuildRejected(build, RollbackReason.SLOW_WITHOUT_BASELINE, baseline_latency_ms=usual_ms)
        _roll_back(state, rejected)


def _roll_back(state: State, rejected: BuildRejected) -> None:
    state.rollback_build = rejected.build
    state.traffic_pause.active = False
    state.actions.append(rejected)


def _past_fallback_deadline(state: State, rollout: RolloutUpdate) -> bool:
    """Tell whether a stage is old enough for a vote to advance without enough outcomes."""
    started = [server.started_ms for server in state.servers_of(rollout.build)]
    votes_per_s = max(state.rollout_settings.votes_per_s, 1.0)
    spread_ms = 1000 * max(state.gateway_count / votes_per_s - 2, 0.0)  # two seconds' votes at once
    early_ms = min(spread_ms * (1 - state.settings.gateway_index / state.gateway_count), FALLBACK_MS / 2)
    return bool(started) and state.now >= max(*started, state.stage_started_at) + FALLBACK_MS - early_ms


def _failure_evidence(state: State, build: int) -> float:
    """Return the evidence that a build fails more than its baseline; 1 condemns it."""
    rates = [s.failure_rate for s in state.servers.values() if s.build < build]
    servers, required = len(state.servers) - len(rates), state.required_evidence
    evidence = state.build_evidence[build]
    # Servers are faulty by what this gateway has met, or by what all have.
    met_by_all = state.now < state.gossip.last_baseline_fault_at + RATE_MEMORY_MS
    faults = max(rates, default=0.0) >= SERVER_FAULT_RATE or met_by_all
    own = evidence_ratio(evidence.own_failures, servers, faults, required)
    pooled = evidence_ratio(evidence.pooled_failures, servers, faults, required)
    return max(own, pooled, evidence.timeout_evidence / required)


def _decide_verdict(state: State, rollout: RolloutUpdate) -> Verdict:
    build, gate = rollout.build, state.rollout_settings.gate
    low, high, margin, samples = estimate_slowdown(state, build)
    evidence, enough = _failure_evidence(state, build), samples >= MIN_SAMPLES
    if state.rollback_build == build:
        return Verdict.ROLL_BACK
    if evidence >= 1:
        _roll_back(state, BuildRejected(build, RollbackReason.FAILURES, evidence_ratio=evidence))
    elif enough and low > margin and rollout.phase is Phase.TRIAL:
        rejected = BuildRejected(
            build,
            RollbackReason.LATENCY,
            slowdown_low_ms=low,
            slowdown_high_ms=high,
            margin_ms=margin,
        )
        _roll_back(state, rejected)
    suspected = _suspect_shared_slowdown(state, build, rollout.phase is Phase.RELEASED)
    if state.rollback_build == build:
        return Verdict.ROLL_BACK
    if gate is StageGate.TIMER and enough and low > margin / 2:
        started_at = state.build_evidence[build].hold_started_at.setdefault(rollout.stage, state.now)
        return Verdict.HOLD if state.now < started_at + MAX_HOLD_MS else Verdict.NONE
    good = evidence < MAX_ADVANCE_EVIDENCE and not suspected and rollout.phase is Phase.TRIAL
    proven = (enough and high < margin) or _past_fallback_deadline(state, rollout)
    return Verdict.ADVANCE if gate is not StageGate.TIMER and good and proven else Verdict.NONE


def evaluate_rollout(state: State) -> None:
    """Evaluate the newest build, and send the vote that is due."""
    rollout, votes, settings = state.furthest_rollout, state.vote_state, state.rollout_settings
    state.evaluate_at = math.inf
    if rollout is None or rollout.phase in ROLLBACK_PHASES:
        return
    if (state.baseline_build >= 0 or rollout.phase is Phase.TRIAL) and state.servers_of(rollout.build):
        state.evaluate_at = state.now + EVALUATION_INTERVAL_MS
    rate = state.request_rate.value(state.now) if rollout.stage == 0 else 0.0
    state.baseline_request_rate = max(state.baseline_request_rate, rate)
    verdict = _decide_verdict(state, rollout)
    stage = rollout.stage if verdict in (Verdict.ADVANCE, Verdict.HOLD) else 0
    vote, last = Vote(rollout.build, stage, verdict), votes.last_vote
    if verdict is Verdict.NONE and (last == vote or last.build != rollout.build):
        return
    # Votes and their replies get lost: unanswered ones are sent again, valid ones renewed in time.
    unanswered = not votes.acknowledged and state.now < votes.sent_at + settings.call_timeout_ms
    valid = votes.valid_until - state.now > settings.vote_ttl_ms / 2
    too_soon = state.now < max(votes.sent_at + 4 * POLL_INTERVAL_MS, votes.backoff_until)
    if not too_soon and (last != vote or not (unanswered or valid)):
        votes.record(vote, state.now)
        state.actions.append(vote)


def handle_rollout_update(state: State, update: RolloutUpdate) -> None:
    """Take in where the newest build stands, or the reply to a vote."""
    if update.is_vote_reply:
        state.vote_state.acknowledge(update.result, state.now + state.rollout_settings.vote_ttl_ms)
        if update.result is Result.REJECTED:  # all called at once: not all again at once
            per_s = state.rollout_settings.votes_per_s
            jitter_ms = state.rng.random() * 1000 * state.gateway_count / per_s
            state.vote_state.backoff_until = state.now + jitter_ms
    if update.result is Result.OK:
        state.apply_rollout(update)
        partition_servers(state)
