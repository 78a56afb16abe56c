"""The one place that says whether a request may be sent to a server now, why not, and until when it holds.

Every attempt passes `may_send`: the first, a retry, one after a health check, one of an adopted request. The
gateway checks again when it writes (`net/write_permission.py`), by the time that `write_by` gives it.
"""

import math
from enum import Enum

from meadowpulley.interface import Effect
from meadowpulley.policy.endpoint_lease import allowance_ms, is_usable, usable_until
from meadowpulley.policy.endpoints import LOCAL_ZONE_FRACTION, ROLLBACK_PHASES, cap_and_stage, is_on_trial
from meadowpulley.state import Attempt, InFlightRequest, Server, State

SLOW_START_MARGIN = 0.6  # of the slow start budget: capacity is only estimated and work is random
SLOW_START_SLOTS = 4  # of an overload window, each with its budget: no burst spends that of two windows


class SendRefusal(Enum):
    """Why a request may not be sent to a server now; the value names its counter."""

    REQUEST_FINISHED = "request_finished"
    RESPONSE_STARTED = "response_started"
    DEADLINE_PASSED = "deadline_passed"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    ATTEMPT_OUTSTANDING = "attempt_outstanding"
    SERVER_NOT_READY = "server_not_ready"
    ENDPOINT_EXPIRED = "endpoint_expired"
    NOT_REPEATABLE = "not_repeatable"
    EXPOSURE = "exposure"
    SLOW_START = "slow_start"


def may_send(state: State, in_flight: InFlightRequest, server: Server) -> bool:
    """Check an attempt against all rules, and count why it may not be sent."""
    refusal = send_refusal(state, in_flight, server)
    if refusal is not None:
        state.send_refusals[refusal.value] += 1
    return refusal is None


def send_refusal(state: State, in_flight: InFlightRequest, server: Server) -> SendRefusal | None:
    """Return why a request may not be sent to a server now; None if it may."""
    if refusal := _request_refusal(state, in_flight):
        return refusal
    if not server.is_ready or state.servers.get(server.id) is not server:
        return SendRefusal.SERVER_NOT_READY
    if not is_usable(state, server):
        return SendRefusal.ENDPOINT_EXPIRED
    if not all([_may_repeat(state, previous, server) for previous in in_flight.possible_executions]):
        return SendRefusal.NOT_REPEATABLE
    if not _within_exposure(state, in_flight, server):
        return SendRefusal.EXPOSURE
    if not _within_slow_start_budget(state, server):
        return SendRefusal.SLOW_START
    return None


def write_by(state: State, in_flight: InFlightRequest, server: Server) -> float:
    """Return until when a request that may be sent now may be written, on the clock of the events."""
    repeatable = [_repeatable_until(state, previous) for previous in in_flight.possible_executions]
    return min([usable_until(state, server), *repeatable])


def _request_refusal(state: State, in_flight: InFlightRequest) -> SendRefusal | None:
    """Return why a request may not be sent anywhere."""
    request, limits = in_flight.request, state.settings.limits
    if request.request not in state.in_flight:
        return SendRefusal.REQUEST_FINISHED
    if in_flight.streaming:
        return SendRefusal.RESPONSE_STARTED
    if state.now >= request.deadline_ms:
        return SendRefusal.DEADLINE_PASSED
    if in_flight.attempt_count >= limits.max_attempts:
        return SendRefusal.ATTEMPTS_EXHAUSTED
    if in_flight.outstanding and not limits.hedging:
        return SendRefusal.ATTEMPT_OUTSTANDING
    return None


def _repeatable_until(state: State, previous: Attempt) -> float:
    """Return until when a request that an attempt may have executed may be executed again."""
    request_class = previous.in_flight.request_class
    if request_class.effect is Effect.IDEMPOTENT:
        return math.inf
    if request_class.effect is not Effect.IDEMPOTENT_WITH_KEY:
        return -math.inf
    window_ms = request_class.deduplication_window_ms
    return previous.sent_at + window_ms - allowance_ms(state, window_ms)


def _may_repeat(state: State, previous: Attempt, server: Server) -> bool:
    """Tell whether a request that an attempt may have executed may be executed at the server too."""
    request_class = previous.in_flight.request_class
    in_window = state.now < _repeatable_until(state, previous)
    idempotent = request_class.effect is Effect.IDEMPOTENT
    return in_window and (idempotent or server.in_scope(request_class.deduplication_scope, previous.server))


def _within_slow_start_budget(state: State, server: Server) -> bool:
    """Check this gateway's part, per slot, of what a server in slow start may get."""
    window_ms = state.rules.overload_window_ms
    if state.slow_start_fraction(server, window_ms) >= 1.0:
        return True
    slot = int(state.now * SLOW_START_SLOTS / window_ms)
    if server.slow_start_slot != slot:
        # In an overload hardly any response comes.
        served = max(state.goodput.value(state.now), state.request_rate.value(state.now) / 2)
        allowed = state.rules.overload_multiple * state.slow_start_fraction(server, window_ms / 2) * served
        budget = SLOW_START_MARGIN * (allowed / state.peak_ready_servers) * window_ms / SLOW_START_SLOTS
        arm = state.trial_servers if is_on_trial(state, server.build) else state.baseline_servers
        weight = state.subset(arm, LOCAL_ZONE_FRACTION).get(server.id, 1.0)
        part = max(budget, 1 / state.gateway_count) * weight
        # Rounded by chance, as the parts of hundreds of gateways add up.
        server.slow_start_slot, server.slow_start_budget = slot, int(part + state.rng.random())
    return server.slow_start_budget >= 1


def _within_exposure(state: State, in_flight: InFlightRequest, server: Server) -> bool:
    """Check the build that the request's key is bound to, guarded stages, and the exposure cap."""
    rollout, settings, key = state.latest_rollout, state.rollout_settings, in_flight.request.key
    rolled_back = rollout.build if rollout is not None and rollout.phase in ROLLBACK_PHASES else -1
    newest_build = max(server.build, rolled_back)  # keys of a build that is rolled back are released
    if key and state.sticky_builds.get(key, state.oldest_sticky_build) > newest_build:
        return False
    if not is_on_trial(state, server.build):  # what is outstanding at a later build may be answered by now
        later = [a.in_flight.request.key for a in state.attempts.values() if a.server.build > newest_build]
        return not (settings.monotonic_keys and key and key in later)
    cap, stage = cap_and_stage(state, server.build)
    if cap <= 0 or (stage < settings.guarded_stages and in_flight.effect is not Effect.IDEMPOTENT):
        return False
    exposure_class, tick_ms = in_flight.exposure_class, state.settings.tick_ms
    requests = state.request_windows[exposure_class].count(state.now, -tick_ms)
    sent = state.build_evidence[server.build].sent_windows[exposure_class].count(state.now, tick_ms)
    return sent + 1 <= settings.exposure_allowance + cap * requests
