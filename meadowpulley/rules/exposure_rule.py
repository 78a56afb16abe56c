"""The rules on exposure: a build on trial gets a capped share of requests, and keys go to no older build.

The caps count requests and attempts over a sliding window, of all classes together or of each class.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass

from meadowpulley.interface import Effect, Phase
from meadowpulley.rules.observations import GatewayState, OpenRequest
from meadowpulley.rules.parameters import RuleParameters
from meadowpulley.rules.trace import (
    PHASE_NAMES,
    AttemptSent,
    KeyAnswered,
    RequestReceived,
    RolloutUpdated,
)
from meadowpulley.rules.violations import Violation

RELEASED = PHASE_NAMES[Phase.RELEASED]
ROLLBACK_PHASES = (PHASE_NAMES[Phase.ROLLING_BACK], PHASE_NAMES[Phase.ROLLED_BACK])
ALL_CLASSES = -1  # in place of a class, where all classes count together
MIN_ROLLOUT_UPDATES = 2  # updates that are kept however old they are
# Times of arrival are dropped in large pieces: each drop moves all that remain.
MAX_ARRIVAL_TIMES = 200_000
DROPPED_ARRIVAL_TIMES = 100_000
ROUNDING_ATTEMPTS = 1e-6


@dataclass(frozen=True, slots=True)
class BindingCap:
    """A cap that may still apply to a build, and the stage that it comes from."""

    cap: float  # share of requests
    stage: int


def exposure_class(parameters: RuleParameters, class_index: int) -> int:
    """Return the class under which requests of a class count."""
    return class_index if parameters.per_class else ALL_CLASSES


def record_arrival(parameters: RuleParameters, gateway: GatewayState, record: RequestReceived) -> None:
    """Count a request."""
    times = gateway.received_at[exposure_class(parameters, record.class_index)]
    times.append(record.at)
    if len(times) > MAX_ARRIVAL_TIMES:
        del times[:DROPPED_ARRIVAL_TIMES]


def record_rollout_update(parameters: RuleParameters, gateway: GatewayState, record: RolloutUpdated) -> None:
    """Record the phase of the newest build, and forget updates that can't apply any more."""
    updates = gateway.rollout_updates
    updates.append(record)
    if record.phase in ROLLBACK_PHASES:
        gateway.keys_by_build.pop(record.build, None)  # its keys may go anywhere
    oldest = record.at - parameters.drain_grace_ms - parameters.window_ms
    while len(updates) > MIN_ROLLOUT_UPDATES and updates[1].at < oldest:
        updates.pop(0)


def record_answered_key(gateway: GatewayState, record: KeyAnswered) -> None:
    """Record that a build answered a key, unless it is the newest one and rolled back."""
    newest = _newest_update(gateway)
    rolled_back = newest is not None and newest.build == record.build and newest.phase in ROLLBACK_PHASES
    if record.key and not rolled_back:
        gateway.keys_by_build[record.build][record.key] = 1


def check_attempt(
    parameters: RuleParameters, record: AttemptSent, gateway: GatewayState, request: OpenRequest
) -> list[Violation]:
    """Check an attempt against the exposure of its build; it counts if the build is on trial."""
    violations = [_check_monotonic_key(parameters, record, gateway, request.received.key)]
    if _is_on_trial(record, gateway):
        caps = _binding_caps(parameters, gateway, record)
        violations.append(_check_cap(parameters, record, gateway, request, max(each.cap for each in caps)))
        stage = max(each.stage for each in caps)
        violations.append(_check_guarded_stage(parameters, record, request, stage))
    return [violation for violation in violations if violation is not None]


def _newest_update(gateway: GatewayState) -> RolloutUpdated | None:
    return gateway.rollout_updates[-1] if gateway.rollout_updates else None


def _is_on_trial(record: AttemptSent, gateway: GatewayState) -> bool:
    newest = _newest_update(gateway)
    if newest is None or record.build > newest.build:
        return True
    return record.build == newest.build and newest.phase != RELEASED


def _binding_caps(parameters: RuleParameters, gateway: GatewayState, record: AttemptSent) -> list[BindingCap]:
    """Return the caps that may still apply to a build; a lower cap binds after the drain grace."""
    first_cap = BindingCap(parameters.first_cap, 0)
    since = record.at - parameters.drain_grace_ms - parameters.slack_ms
    caps = list[BindingCap]()
    ends = [update.at for update in gateway.rollout_updates[1:]]
    for update, until in zip(gateway.rollout_updates, [*ends, math.inf], strict=False):
        if until < since:
            continue
        if update.build == record.build:
            caps.append(BindingCap(update.cap, update.stage))
        elif update.build < record.build:
            caps.append(first_cap)
    return caps or [first_cap]


def _check_cap(
    parameters: RuleParameters,
    record: AttemptSent,
    gateway: GatewayState,
    request: OpenRequest,
    cap: float,
) -> Violation | None:
    """Count an attempt, and check those at its build against the cap, over the exposure window."""
    counted_class = exposure_class(parameters, request.received.class_index)
    window_start = record.at - parameters.window_ms
    sent_at = gateway.trial_attempts[record.build, counted_class]
    sent_at.append(record.at)
    while sent_at and sent_at[0] <= window_start:
        sent_at.popleft()
    arrivals = gateway.received_at[counted_class]
    received = len(arrivals) - bisect_right(arrivals, window_start)
    share = cap + parameters.extra_share
    allowed = parameters.free_attempts + parameters.extra_attempts + share * received
    if len(sent_at) <= allowed + ROUNDING_ATTEMPTS:
        return None
    text = f"{len(sent_at)} attempts at build {record.build}, {allowed:.1f} allowed for {received} requests"
    return Violation("exposure", record.at, record.gateway, text)


def _check_guarded_stage(
    parameters: RuleParameters, record: AttemptSent, request: OpenRequest, stage: int
) -> Violation | None:
    """Check that no request with an effect goes to a build on trial in its first stages."""
    effect = parameters.classes[request.received.class_index].effect
    if effect is Effect.IDEMPOTENT or stage >= parameters.guarded_stages:
        return None
    text = f"request {record.request} has an effect, in a guarded stage"
    return Violation("exposure", record.at, record.gateway, text)


def _check_monotonic_key(
    parameters: RuleParameters, record: AttemptSent, gateway: GatewayState, key: int
) -> Violation | None:
    """Check that a key which a build answered goes to no older one, unless it is rolled back."""
    if not parameters.one_way or not key:
        return None
    newer_builds = [build for build in gateway.keys_by_build if build > record.build]
    for build in newer_builds:
        if key in gateway.keys_by_build[build] and not _was_rolled_back(gateway, build):
            text = (
                f"request {record.request}: build {build} answered its key, "
                f"and it went to build {record.build}"
            )
            return Violation("one-way", record.at, record.gateway, text)
    return None


def _was_rolled_back(gateway: GatewayState, build: int) -> bool:
    return any(
        update.build == build and update.phase in ROLLBACK_PHASES for update in gateway.rollout_updates
    )
