"""Builds that slow all servers, old and new: no comparison of both arms can show these.

While all is slow, the traffic to the build on trial pauses. Where latency recovers without it and rises again
with it, twice over, the build is the cause and is rolled back. A dependency that slows all servers recovers
at its own time, and the rollout goes on. Where no earlier build is left, a build is rolled back that stays
slow for longer than faults last.
"""

import math
from statistics import fmean

from meadowpulley.interface import BuildRejected, RollbackReason
from meadowpulley.policy.failure_evidence import MIN_SAMPLES
from meadowpulley.policy.latency_comparison import LATENCY_MARGIN, MIN_BLOCK_MS, is_slower_than_before
from meadowpulley.state import RATE_MEMORY_MS, Attempt, State

MIN_PAUSE_PROBABILITY = 0.1  # of the trial build: with less it hardly slows all servers
PAUSE_MEMORY_SOAKS = 2.0  # soak times within which a slowdown that returns with the traffic is the same one
MAX_PAUSES = 2  # in succession: a third one shows that the build is the cause
MIN_PAUSE_MS = 2 * MIN_BLOCK_MS
MAX_SLOW_SOAKS = 3.0  # soak times of slowness, without a baseline to compare with, that condemn a build
SETTLED_LATENCIES = 2.0  # usual latencies after which an attempt has its cost, or is slow
OVERLOAD_MEMORY_MS = 2 * RATE_MEMORY_MS  # an overload that is over for longer is no slowness
MAX_REQUEST_GROWTH = 2 * LATENCY_MARGIN  # of the request rate: with more, more requests explain slowness
UNATTRIBUTABLE_WINDOW = 2 * MIN_SAMPLES  # newest attempts among which an overload shows
MAX_UNATTRIBUTABLE = MIN_SAMPLES / 2  # of these without a response: more hide all else


def roll_back(state: State, rejected: BuildRejected) -> None:
    """Vote from now on to roll a build back, and say why."""
    state.rollback_build = rejected.build
    state.traffic_pause.active = False
    state.actions.append(rejected)


def suspect_shared_slowdown(state: State, build: int, released: bool) -> bool:
    """Tell whether a build may slow all servers; pause its traffic, or roll it back.

    Args:
        state: What is known; its traffic pause, baseline latency and rollback may change.
        build: The newest build.
        released: Whether it has all of the traffic.
    """
    has_baseline = any([server.build < build for server in state.servers.values()])
    if released or not has_baseline:
        return _check_without_baseline(state, build)
    return _check_with_baseline(state, build)


def _settled_attempts(state: State, memory_ms: float) -> list[Attempt]:
    """Return the samples whose latency is known by now, or is long enough to tell."""
    settled_ms = SETTLED_LATENCIES * state.baseline_latency_ms
    return [
        attempt for attempt in state.latency_samples if settled_ms < state.now - attempt.sent_at < memory_ms
    ]


def _check_without_baseline(state: State, build: int) -> bool:
    """Roll back a build that is slow for longer than faults last, unless by more requests or an overload."""
    pause = state.traffic_pause
    settled = _settled_attempts(state, OVERLOAD_MEMORY_MS)
    since_change = [attempt for attempt in settled if attempt.sent_at > pause.changed_at]
    slower = is_slower_than_before(state, since_change)
    explained_by_load = _is_explained_by_load(state, since_change)
    if slower and not explained_by_load:
        pause.slow_since = min(pause.slow_since, state.now)
    else:
        pause.slow_since = math.inf
    if state.now > pause.slow_since + MAX_SLOW_SOAKS * state.rollout_settings.soak_ms:
        reason = RollbackReason.SLOW_WITHOUT_BASELINE
        roll_back(state, BuildRejected(build, reason, baseline_latency_ms=state.baseline_latency_ms))
    return slower


def _is_explained_by_load(state: State, attempts: list[Attempt]) -> bool:
    """Tell whether there are more requests than before the build came, or an overload."""
    request_limit = (1 + MAX_REQUEST_GROWTH) * state.baseline_request_rate
    if state.request_rate.value(state.now) > request_limit:
        return True
    newest = attempts[-UNATTRIBUTABLE_WINDOW:]
    return sum([attempt.unattributable for attempt in newest]) > MAX_UNATTRIBUTABLE


def _check_with_baseline(state: State, build: int) -> bool:
    """Compare the baseline's servers now with how they were before; begin or end a pause accordingly."""
    pause = state.traffic_pause
    settled = _settled_attempts(state, math.inf)
    of_baseline = [
        attempt for attempt in settled if attempt.sent_at > pause.changed_at and attempt.server.build < build
    ]
    slower = is_slower_than_before(state, of_baseline)
    has_enough_samples = len(of_baseline) >= MIN_SAMPLES
    recovered = has_enough_samples and not slower
    if recovered and state.trial_probability < MIN_PAUSE_PROBABILITY / 2:  # it slows no others
        state.baseline_latency_ms = fmean([attempt.latency_cost(state.now) for attempt in of_baseline])
    elif not pause.active and slower and state.trial_probability >= MIN_PAUSE_PROBABILITY:
        _begin_pause(state, build)
    elif pause.active and recovered and state.now - pause.changed_at > MIN_PAUSE_MS:
        pause.end(state.now)
    not_known_yet = not has_enough_samples and pause.changed_at > state.stage_started_at
    return pause.active or slower or not_known_yet or is_slower_than_before(state, settled)


def _begin_pause(state: State, build: int) -> None:
    """Pause the traffic to the build; at the third time in succession roll it back."""
    pause = state.traffic_pause
    pause.begin(state.now, PAUSE_MEMORY_SOAKS * state.rollout_settings.soak_ms)
    if pause.count > MAX_PAUSES:
        reason = RollbackReason.SHARED_SLOWDOWN
        roll_back(state, BuildRejected(build, reason, baseline_latency_ms=state.baseline_latency_ms))
