"""Detection of builds that slow the servers of all builds, which a comparison of arms can't show.

While the baseline's servers are slow too, the traffic to the build on trial pauses. If latency recovers
during the pause and rises again after it, twice in succession, the build is the cause and is rolled back. A
slowdown caused by a dependency recovers independently of the pauses, and the rollout goes on. Without a
baseline to compare with, a build is rolled back if it stays slow for longer than faults of other causes last.
"""

import math
from statistics import fmean

from meadowpulley.interface import BuildRejected, RollbackReason
from meadowpulley.policy.failure_evidence import MIN_SAMPLES
from meadowpulley.policy.latency_comparison import LATENCY_MARGIN, MIN_BLOCK_MS, is_slower_than_before
from meadowpulley.state import RATE_MEMORY_MS, Attempt, State

# The traffic to the build on trial is paused only if it is at least this part of all requests. With less
# traffic, the build can hardly slow all servers.
MIN_PAUSE_PROBABILITY = 0.1
# Number of soak times after a pause within which a slowdown that returns with the traffic counts as the same.
PAUSE_MEMORY_SOAKS = 2.0
MAX_PAUSES = 2  # pauses in succession; a third slowdown shows that the build is the cause
MIN_PAUSE_MS = 2 * MIN_BLOCK_MS  # shortest pause of the traffic to the build on trial
MAX_SLOW_SOAKS = 3.0  # a build without a baseline is rolled back after being slow for this many soak times
# Multiple of the baseline latency after which an attempt is compared. By then it has a response, or is slow.
SETTLED_LATENCIES = 2.0
# Attempts older than this are ignored without a baseline, so that a past overload doesn't count as slowness.
OVERLOAD_MEMORY_MS = 2 * RATE_MEMORY_MS
# Relative growth of the request rate above which the additional requests explain slowness.
MAX_REQUEST_GROWTH = 2 * LATENCY_MARGIN
UNATTRIBUTABLE_WINDOW = 2 * MIN_SAMPLES  # number of the newest attempts that are searched for an overload
# Greatest number of these attempts whose latency can't be attributed to their build, usually because they got
# no response. More of them show an overload, which hides any other cause of slowness.
MAX_UNATTRIBUTABLE = MIN_SAMPLES / 2


def roll_back(state: State, rejected: BuildRejected) -> None:
    """Vote to roll a build back from now on, end a traffic pause, and report the reason."""
    state.rollback_build = rejected.build
    state.traffic_pause.active = False
    state.actions.append(rejected)


def suspect_shared_slowdown(state: State, build: int, released: bool) -> bool:
    """Return whether a build may slow all servers; pause its traffic or roll it back if needed.

    Args:
        state: The policy's state; its traffic pause, baseline latency and rollback build may change.
        build: The newest build.
        released: Whether the build is released, and so may get all requests.
    """
    has_baseline = any([server.build < build for server in state.servers.values()])
    if released or not has_baseline:
        return _check_without_baseline(state, build)
    return _check_with_baseline(state, build)


def _settled_attempts(state: State, memory_ms: float) -> list[Attempt]:
    """Return the samples of the last `memory_ms` that have a response or are old enough to count as slow."""
    settled_ms = SETTLED_LATENCIES * state.baseline_latency_ms
    return [
        attempt for attempt in state.latency_samples if settled_ms < state.now - attempt.sent_at < memory_ms
    ]


def _check_without_baseline(state: State, build: int) -> bool:
    """Roll back a build that stays slow for longer than faults of other causes last.

    It is not rolled back while more requests or an overload explain the slowness.
    """
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
    """Return whether there are far more requests than before the build came, or an overload."""
    request_limit = (1 + MAX_REQUEST_GROWTH) * state.baseline_request_rate
    if state.request_rate.value(state.now) > request_limit:
        return True
    newest = attempts[-UNATTRIBUTABLE_WINDOW:]
    return sum([attempt.unattributable for attempt in newest]) > MAX_UNATTRIBUTABLE


def _check_with_baseline(state: State, build: int) -> bool:
    """Compare the baseline's latency with that before the build came; begin or end a pause accordingly."""
    pause = state.traffic_pause
    settled = _settled_attempts(state, math.inf)
    of_baseline = [
        attempt for attempt in settled if attempt.sent_at > pause.changed_at and attempt.server.build < build
    ]
    slower = is_slower_than_before(state, of_baseline)
    has_enough_samples = len(of_baseline) >= MIN_SAMPLES
    recovered = has_enough_samples and not slower
    # With so little traffic, the build on trial does not slow the servers of other builds.
    if recovered and state.trial_probability < MIN_PAUSE_PROBABILITY / 2:
        state.baseline_latency_ms = fmean([attempt.latency_cost(state.now) for attempt in of_baseline])
    elif not pause.active and slower and state.trial_probability >= MIN_PAUSE_PROBABILITY:
        _begin_pause(state, build)
    elif pause.active and recovered and state.now - pause.changed_at > MIN_PAUSE_MS:
        pause.end(state.now)
    not_known_yet = not has_enough_samples and pause.changed_at > state.stage_started_at
    return pause.active or slower or not_known_yet or is_slower_than_before(state, settled)


def _begin_pause(state: State, build: int) -> None:
    """Pause the traffic to the build, or roll the build back if this is the third pause in succession."""
    pause = state.traffic_pause
    pause.begin(state.now, PAUSE_MEMORY_SOAKS * state.rollout_settings.soak_ms)
    if pause.count > MAX_PAUSES:
        reason = RollbackReason.SHARED_SLOWDOWN
        roll_back(state, BuildRejected(build, reason, baseline_latency_ms=state.baseline_latency_ms))
