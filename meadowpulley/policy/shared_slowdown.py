"""Detection of builds that slow the servers of all builds, which a comparison of arms can't show.

While the baseline's servers are slow, the traffic to the build on trial pauses. If latency recovers during
two pauses in succession and rises again after each, the build is the cause and is rolled back. A slowdown
caused by a dependency recovers independently of the pauses, and the rollout goes on. A build without a
baseline is rolled back if the build stays slow for longer than faults of other causes last.
"""

import math
from statistics import fmean

from meadowpulley.interface import BuildRejected, RollbackReason
from meadowpulley.policy.failure_evidence import MIN_SAMPLES
from meadowpulley.policy.latency_comparison import LATENCY_MARGIN, MIN_BLOCK_MS, is_slower_than_before
from meadowpulley.state import RATE_MEMORY_MS, Attempt, State

# The traffic to the build on trial is paused only if the build gets at least this part of all requests. A
# build with less traffic can hardly slow all servers.
MIN_PAUSE_PROBABILITY = 0.1
# A slowdown that returns within this number of soak times after a traffic pause counts as the same slowdown.
PAUSE_MEMORY_SOAKS = 2.0
# Greatest number of traffic pauses in succession. A third slowdown shows that the build is the cause.
MAX_PAUSES = 2
MIN_PAUSE_MS = 2 * MIN_BLOCK_MS  # shortest pause of the traffic to the build on trial
MAX_SLOW_SOAKS = 3.0  # a build without a baseline is rolled back after being slow for this many soak times
# An attempt is compared with the baseline latency once this multiple of the baseline latency has passed since
# the attempt was sent. By then the attempt has a response or counts as slow.
SETTLED_LATENCIES = 2.0
# While a build has no baseline, attempts sent longer ago than this time (ms) are ignored. Otherwise a past
# overload would count as slowness of the build.
OVERLOAD_MEMORY_MS = 2 * RATE_MEMORY_MS
# If the request rate exceeds the highest rate in the build's first stage by more than this part of that rate,
# the additional requests explain why servers are slow.
MAX_REQUEST_GROWTH = 2 * LATENCY_MARGIN
UNATTRIBUTABLE_WINDOW = 2 * MIN_SAMPLES  # number of the newest attempts that are searched for an overload
# An attempt is unattributable if its latency says nothing about its build, usually because it got no
# response. More unattributable attempts than this number, among the newest ones, show an overload. An
# overload hides any other cause of slowness.
MAX_UNATTRIBUTABLE = MIN_SAMPLES / 2


def roll_back(state: State, rejected: BuildRejected) -> None:
    """Make this gateway vote to roll a build back, end a traffic pause, and report the reason."""
    state.rollback_build = rejected.build
    state.traffic_pause.active = False
    state.actions.append(rejected)


def suspect_shared_slowdown(state: State, build: int, released: bool) -> bool:
    """Return whether a build may slow all servers; pause the build's traffic or roll the build back.

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
    """Return the samples whose age is above a minimum and below `memory_ms`.

    The minimum is `SETTLED_LATENCIES` times the baseline latency. By that age, an attempt has a response or
    counts as slow. Younger samples are left out even if they have a response.
    """
    settled_ms = SETTLED_LATENCIES * state.baseline_latency_ms
    return [
        attempt for attempt in state.latency_samples if settled_ms < state.now - attempt.sent_at < memory_ms
    ]


def _check_without_baseline(state: State, build: int) -> bool:
    """Roll back a build that stays slow for longer than faults of other causes last.

    The build is not rolled back while an overload or a higher request rate explains the slowness.
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
    """Return whether an overload or a far higher request rate explains that servers are slow."""
    request_limit = (1 + MAX_REQUEST_GROWTH) * state.baseline_request_rate
    if state.request_rate.value(state.now) > request_limit:
        return True
    newest = attempts[-UNATTRIBUTABLE_WINDOW:]
    return sum([attempt.unattributable for attempt in newest]) > MAX_UNATTRIBUTABLE


def _check_with_baseline(state: State, build: int) -> bool:
    """Return whether a build may slow all servers; begin or end a pause of the build's traffic."""
    pause = state.traffic_pause
    settled = _settled_attempts(state, math.inf)
    of_baseline = [
        attempt for attempt in settled if attempt.sent_at > pause.changed_at and attempt.server.build < build
    ]
    slower = is_slower_than_before(state, of_baseline)
    has_enough_samples = len(of_baseline) >= MIN_SAMPLES
    recovered = has_enough_samples and not slower
    # A build that gets less than half of MIN_PAUSE_PROBABILITY of all requests does not slow other servers.
    # The current latency of the baseline's servers is therefore recorded for later comparisons.
    if recovered and state.trial_probability < MIN_PAUSE_PROBABILITY / 2:
        state.baseline_latency_ms = fmean([attempt.latency_cost(state.now) for attempt in of_baseline])
    elif not pause.active and slower and state.trial_probability >= MIN_PAUSE_PROBABILITY:
        _begin_pause(state, build)
    elif pause.active and recovered and state.now - pause.changed_at > MIN_PAUSE_MS:
        pause.end(state.now)
    not_known_yet = not has_enough_samples and pause.changed_at > state.stage_started_at
    return pause.active or slower or not_known_yet or is_slower_than_before(state, settled)


def _begin_pause(state: State, build: int) -> None:
    """Pause the traffic to the build; roll the build back at the third pause in succession."""
    pause = state.traffic_pause
    pause.begin(state.now, PAUSE_MEMORY_SOAKS * state.rollout_settings.soak_ms)
    if pause.count > MAX_PAUSES:
        reason = RollbackReason.SHARED_SLOWDOWN
        roll_back(state, BuildRejected(build, reason, baseline_latency_ms=state.baseline_latency_ms))
