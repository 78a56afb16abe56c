"""Checks the rule on responses: each request gets exactly one final response, in time."""

from __future__ import annotations

from meadowpulley.rules.observations import GatewayState, OpenRequest
from meadowpulley.rules.parameters import RuleParameters
from meadowpulley.rules.trace import AttemptSent, RequestReceived, ResponseSent
from meadowpulley.rules.violations import Violation

FINISHED_MEMORY_MS = 120_000.0  # how long (ms) finished requests are kept, to detect duplicates
ROUNDING_MS = 1e-6  # a response at most this late counts as in time, because of rounding errors


def response_deadline(parameters: RuleParameters, request: OpenRequest) -> float:
    """Return the time by which a request must have its final response (ms)."""
    return request.received.deadline + parameters.answer_slack_ms + parameters.slack_ms


def finish_request(gateway: GatewayState, number: int, at: float) -> OpenRequest | None:
    """Record that an open request has finished and return it; return None if it is not open."""
    request = gateway.open_requests.pop(number, None)
    if request is None:
        return None
    gateway.finished.add(number)
    gateway.finished_order.append((at, number))
    while gateway.finished_order and gateway.finished_order[0][0] < at - FINISHED_MEMORY_MS:
        _, forgotten_number = gateway.finished_order.popleft()
        gateway.finished.discard(forgotten_number)
    return request


def check_not_received_twice(record: RequestReceived, gateway: GatewayState) -> Violation | None:
    """Report a received request whose number is that of an open or recently finished request."""
    if record.request not in gateway.open_requests and record.request not in gateway.finished:
        return None
    return Violation("answers", record.at, record.gateway, f"request {record.request} was received twice")


def unexpected_attempt(record: AttemptSent, gateway: GatewayState) -> Violation:
    """Return the violation for an attempt of a request that is not open."""
    finished = record.request in gateway.finished
    problem = "after its final response" if finished else "although the gateway never received it"
    return Violation("answers", record.at, record.gateway, f"request {record.request} was sent {problem}")


def unexpected_response(record: ResponseSent, gateway: GatewayState) -> Violation:
    """Return the violation for a response to a request that is not open."""
    finished = record.request in gateway.finished
    problem = "a second final response" if finished else "a response although the gateway never received it"
    return Violation("answers", record.at, record.gateway, f"request {record.request} got {problem}")


def check_in_time(parameters: RuleParameters, record: ResponseSent, request: OpenRequest) -> Violation | None:
    """Report a final response that was sent too late."""
    late_ms = record.at - response_deadline(parameters, request)
    if late_ms <= ROUNDING_MS or request.excused:
        return None
    text = f"request {record.request} was answered {late_ms:.1f} ms late"
    return Violation("answers", record.at, record.gateway, text)
