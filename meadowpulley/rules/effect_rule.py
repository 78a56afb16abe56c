"""The rule on effects: no request with an effect may run twice.

Nor is one that may have run rejected, as if its client could safely send it again.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowpulley.interface import DeduplicationScope, Effect
from meadowpulley.rules.observations import KnownServer, ObservedAttempt, OpenRequest, group_member
from meadowpulley.rules.parameters import ClassRules, RuleParameters
from meadowpulley.rules.trace import AttemptSent, ResponseSent
from meadowpulley.rules.violations import Violation


def possible_executions(
    gateway: int, request: OpenRequest, is_recorded: Callable[[int, str], bool]
) -> list[ObservedAttempt]:
    """Return attempts that may have executed, here or at gateways that recorded the request.

    `is_recorded` tells whether a gateway recorded the request with that id.
    """
    return [
        attempt
        for attempt in request.attempts
        if attempt.may_have_executed
        and (attempt.gateway == gateway or is_recorded(attempt.gateway, request.received.request_id))
    ]


def check_rejection(
    parameters: RuleParameters,
    record: ResponseSent,
    request: OpenRequest,
    is_recorded: Callable[[int, str], bool],
) -> Violation | None:
    """Check that no request is rejected that may have run, unless it may safely be sent again anywhere."""
    if record.response != "refused":
        return None
    rules = parameters.classes[request.received.class_index]
    if _is_idempotent_everywhere(rules) or not possible_executions(record.gateway, request, is_recorded):
        return None
    text = f"request {record.request} may have run and was refused"
    return Violation("effects", record.at, record.gateway, text)


def _is_idempotent_everywhere(rules: ClassRules) -> bool:
    if rules.effect is Effect.IDEMPOTENT_WITH_KEY:
        return rules.group is DeduplicationScope.ALL
    return rules.effect is Effect.IDEMPOTENT


def check_retry(
    parameters: RuleParameters,
    record: AttemptSent,
    request: OpenRequest,
    server: KnownServer | None,
    is_recorded: Callable[[int, str], bool],
) -> Violation | None:
    """Check that a request which may have run goes only where that run is known."""
    rules = parameters.classes[request.received.class_index]
    if rules.effect is Effect.IDEMPOTENT:
        return None
    earlier_attempts = possible_executions(record.gateway, request, is_recorded)
    if not earlier_attempts:
        return None
    if rules.effect is Effect.NON_IDEMPOTENT:
        text = f"request {record.request} may have run and was sent again"
    elif all(_is_deduplicated(rules, record, server, earlier) for earlier in earlier_attempts):
        return None
    else:
        text = f"keyed request {record.request} left those that know it"
    return Violation("effects", record.at, record.gateway, text)


def _is_deduplicated(
    rules: ClassRules, record: AttemptSent, server: KnownServer | None, earlier: ObservedAttempt
) -> bool:
    """Return whether the server of a retry knows the key of an earlier attempt, and has not forgotten it."""
    if server is None or group_member(rules.group, earlier) != group_member(rules.group, server):
        return False
    return record.at - earlier.sent_at <= rules.window_ms
