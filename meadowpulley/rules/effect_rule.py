"""Checks the rule on effects: a request with an effect must not be executed twice.

A request that may have been executed must not be rejected either, because a rejection tells the client that
it can safely send the request again.
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
    """Return attempts that may have executed, from `gateway` and gateways that recorded the request.

    `is_recorded` returns whether a gateway recorded the request with a given id.
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
    """Report a rejected request that may have run, unless every server may safely repeat the request."""
    if record.response != "refused":
        return None
    rules = parameters.classes[request.received.class_index]
    if _is_idempotent_everywhere(rules) or not possible_executions(record.gateway, request, is_recorded):
        return None
    text = f"request {record.request} was rejected although it may have been executed"
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
    """Report a retry that may repeat the effect of an earlier attempt.

    After an attempt that may have executed, a request with an idempotency key may go only to servers that
    remember the key, and a non-idempotent request to no server.
    """
    rules = parameters.classes[request.received.class_index]
    if rules.effect is Effect.IDEMPOTENT:
        return None
    earlier_attempts = possible_executions(record.gateway, request, is_recorded)
    if not earlier_attempts:
        return None
    if rules.effect is Effect.NON_IDEMPOTENT:
        text = f"request {record.request} was sent again although it may have been executed"
    elif all(_is_deduplicated(rules, record, server, earlier) for earlier in earlier_attempts):
        return None
    else:
        text = f"keyed request {record.request} was sent to a server that may not know its idempotency key"
    return Violation("effects", record.at, record.gateway, text)


def _is_deduplicated(
    rules: ClassRules, record: AttemptSent, server: KnownServer | None, earlier: ObservedAttempt
) -> bool:
    """Return whether the server of a retry still remembers the key of an earlier attempt."""
    if server is None or group_member(rules.group, earlier) != group_member(rules.group, server):
        return False
    return record.at - earlier.sent_at <= rules.window_ms
