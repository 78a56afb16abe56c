"""Checks the rules on exposure: caps for a build on trial, and monotonic keys.

A build on trial may get at most a capped share of the requests. A request whose key a newer build has
answered must not be sent to an older build. The caps compare attempts at the build with received requests
over a sliding window, for all classes together or for each class.
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
ALL_CLASSES = -1  # class index under which all classes are counted together
MIN_ROLLOUT_UPDATES = 2  # number of newest rollout updates that are kept whatever their age
# When MAX_ARRIVAL_TIMES is exceeded, the oldest DROPPED_ARRIVAL_TIMES are deleted in one block, because each
# deletion at the front of a list moves all remaining items.
MAX_ARRIVAL_TIMES = 200_000
DROPPED_ARRIVAL_TIMES = 100_000
ROUNDING_ATTEMPTS = 1e-6  # attempts may exceed the cap by this number, because of rounding errors


@dataclass(frozen=True, slots=True)
class BindingCap:
    """A cap that may still apply to a build, and the stage that it comes from."""

    cap: float  # share of the received requests that the build may get
    stage: int


def exposure_class(parameters: RuleParameters, class_index: int) -> int:
    """Return the class index under which requests of a class are counted."""
    return class_index if parameters.per_class else ALL_CLASSES


def record_arrival(parameters: RuleParameters, gateway: GatewayState, record: RequestReceived) -> None:
    """Record when a request arrived, to count the requests within the exposure window."""
    times = gateway.received_at[exposure_class(parameters, record.class_index)]
    times.append(record.at)
    if len(times) > MAX_ARRIVAL_TIMES:
        del times[:DROPPED_ARRIVAL_TIMES]


def record_rollout_update(parameters: RuleParameters, gateway: GatewayState, record: RolloutUpdated) -> None:
    """Record the state of the newest build, and drop updates too old to affect later checks."""
    updates = gateway.rollout_updates
    updates.append(record)
    if record.phase in ROLLBACK_PHASES:
        # Requests with keys that a rolled-back build has answered may be sent to any build.
        gateway.keys_by_build.pop(record.build, None)
    oldest = record.at - parameters.drain_grace_ms - parameters.window_ms
    while len(updates) > MIN_ROLLOUT_UPDATES and updates[1].at < oldest:
        updates.pop(0)


def record_answered_key(gateway: GatewayState, record: KeyAnswered) -> None:
    """Record that a build answered a key, unless the build is the newest and in a rollback phase."""
    newest = _newest_update(gateway)
    rolled_back = newest is not None and newest.build == record.build and newest.phase in ROLLBACK_PHASES
    if record.key and not rolled_back:
        gateway.keys_by_build[record.build][record.key] = 1


def check_attempt(
    parameters: RuleParameters, record: AttemptSent, gateway: GatewayState, request: OpenRequest
) -> list[Violation]:
    """Check the key of an attempt and, if its build is on trial, the cap and the guarded stages."""
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
    """Return the caps that may still apply to the build of an attempt.

    A gateway may follow the previous cap for the drain grace, so a lower cap is binding only afterwards.
    """
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
    """Count an attempt, and report it if its build exceeds the cap over the exposure window."""
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
    text = (
        f"{len(sent_at)} attempts at build {record.build}; {allowed:.1f} are allowed for {received} requests"
    )
    return Violation("exposure", record.at, record.gateway, text)


def _check_guarded_stage(
    parameters: RuleParameters, record: AttemptSent, request: OpenRequest, stage: int
) -> Violation | None:
    """Report a request with an effect that is sent to a build on trial in a guarded stage."""
    effect = parameters.classes[request.received.class_index].effect
    if effect is Effect.IDEMPOTENT or stage >= parameters.guarded_stages:
        return None
    text = f"request {record.request} has an effect and was sent to a build in a guarded stage"
    return Violation("exposure", record.at, record.gateway, text)


def _check_monotonic_key(
    parameters: RuleParameters, record: AttemptSent, gateway: GatewayState, key: int
) -> Violation | None:
    """Report a request whose key a newer build has answered, unless that build was rolled back."""
    if not parameters.one_way or not key:
        return None
    newer_builds = [build for build in gateway.keys_by_build if build > record.build]
    for build in newer_builds:
        if key in gateway.keys_by_build[build] and not _was_rolled_back(gateway, build):
            text = (
                f"request {record.request}: build {build} had answered its key, "
                f"but the request was sent to build {record.build}"
            )
            return Violation("one-way", record.at, record.gateway, text)
    return None


def _was_rolled_back(gateway: GatewayState, build: int) -> bool:
    return any(
        update.build == build and update.phase in ROLLBACK_PHASES for update in gateway.rollout_updates
    )
