"""Checks a trace record by record and reports every violation of the five rules.

The rules state what users rely on: responses (`response_rule`), effects (`effect_rule`), drains and servers
in slow start (`endpoint_rule`), and exposure with monotonic keys (`exposure_rule`). The checker does not use
the decision logic of a gateway; it derives its state from the trace alone.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict

from meadowpulley.rules import effect_rule, endpoint_rule, exposure_rule, response_rule
from meadowpulley.rules.observations import GatewayState, KnownServer, ObservedAttempt, OpenRequest
from meadowpulley.rules.parameters import RuleParameters
from meadowpulley.rules.record_handlers import RecordHandlers
from meadowpulley.rules.shared_state import SharedStateChecker
from meadowpulley.rules.trace import (
    AdoptionStarted,
    AttemptEnded,
    AttemptSent,
    ClientDetached,
    EndpointListed,
    GatewayCrashed,
    GatewayPaused,
    GatewayResumed,
    GatewayStarted,
    InstanceOverloaded,
    KeyAnswered,
    Record,
    RequestAbandoned,
    RequestReceived,
    ResponseSent,
    RolloutUpdated,
)
from meadowpulley.rules.violations import NO_GATEWAY, RuleName, Violation

MAX_VIOLATIONS = 1000  # maximum number of violations that are kept; further ones are only counted


class TraceChecker:
    """Checks a trace: call `observe` with each record in order, then `finish`."""

    def __init__(self, parameters: RuleParameters) -> None:
        self.parameters = parameters
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.record_count = 0
        self._gateways: dict[int, GatewayState] = defaultdict(GatewayState)
        self._shared_state = SharedStateChecker(parameters.shared, self._report)
        self._attempts_by_id: dict[str, list[ObservedAttempt]] = {}  # attempts of all gateways, by request id
        self._handlers = RecordHandlers()
        self._handlers.add(GatewayStarted, self._gateway_started)
        self._handlers.add(GatewayCrashed, self._gateway_crashed)
        self._handlers.add(GatewayPaused, self._gateway_paused)
        self._handlers.add(GatewayResumed, self._gateway_resumed)
        self._handlers.add(RequestReceived, self._request_received)
        self._handlers.add(AdoptionStarted, self._adoption_started)
        self._handlers.add(ClientDetached, self._client_detached)
        self._handlers.add(RequestAbandoned, self._request_abandoned)
        self._handlers.add(AttemptSent, self._attempt_sent)
        self._handlers.add(AttemptEnded, self._attempt_ended)
        self._handlers.add(ResponseSent, self._response_sent)
        self._handlers.add(EndpointListed, self._endpoint_listed)
        self._handlers.add(InstanceOverloaded, self._instance_overloaded)
        self._handlers.add(RolloutUpdated, self._rollout_updated)
        self._handlers.add(KeyAnswered, self._key_answered)

    @property
    def holds(self) -> bool:
        """Whether no rule has been violated so far."""
        return not self.counts

    def observe(self, record: Record) -> None:
        """Check the next record of the trace."""
        self.record_count += 1
        self._handlers.handle(record)
        self._shared_state.observe(record)

    def finish(self, at: float) -> None:
        """End the trace at `at` (ms), and report requests whose deadline passed without a response."""
        self._shared_state.finish(at)
        for gateway_number, gateway in self._gateways.items():
            for number, request in gateway.open_requests.items():
                deadline = response_rule.response_deadline(self.parameters, request)
                if at > deadline and not request.excused and deadline < gateway.paused_at:
                    self._report(
                        "answers", deadline, gateway_number, f"request {number} got no final response"
                    )

    def _report(self, rule: RuleName, at: float, gateway: int, text: str) -> None:
        self._report_violation(Violation(rule, at, gateway, text))

    def _report_violation(self, violation: Violation | None) -> None:
        """Count a violation and keep it if fewer than MAX_VIOLATIONS are kept; ignore None."""
        if violation is None:
            return
        self.counts[violation.rule] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(violation)

    # Handlers of the records of gateway incarnations

    def _gateway_started(self, record: GatewayStarted) -> None:
        self._gateways[record.gateway] = GatewayState()

    def _gateway_crashed(self, record: GatewayCrashed) -> None:
        self._gateways.pop(record.gateway, None)

    def _gateway_paused(self, record: GatewayPaused) -> None:
        self._gateways[record.gateway].paused_at = record.at

    def _gateway_resumed(self, record: GatewayResumed) -> None:
        gateway = self._gateways[record.gateway]
        for request in gateway.open_requests.values():
            deadline = response_rule.response_deadline(self.parameters, request)
            if gateway.paused_at < deadline < record.at:
                request.excused = True
        gateway.paused_at = math.inf

    # Handlers of the records of requests

    def _request_received(self, record: RequestReceived) -> None:
        gateway = self._gateways[record.gateway]
        violation = response_rule.check_not_received_twice(record, gateway)
        if violation is not None:
            self._report_violation(violation)
            return
        attempts = self._attempts_of(record.request_id) if record.request_id else []
        gateway.open_requests[record.request] = OpenRequest(record, attempts)
        exposure_rule.record_arrival(self.parameters, gateway, record)

    def _attempts_of(self, request_id: str) -> list[ObservedAttempt]:
        return self._attempts_by_id.setdefault(request_id, [])

    def _adoption_started(self, record: AdoptionStarted) -> None:
        """Track an adopted request.

        An adopted request does not count as received for the exposure cap. The gateway
        need not respond to the request, because the client is not connected to this gateway.
        """
        received = RequestReceived(
            record.at,
            record.gateway,
            record.request,
            record.class_index,
            record.key,
            record.deadline,
            record.request_id,
        )
        attempts = self._attempts_of(record.request_id)
        request = OpenRequest(received, attempts, excused=True)
        self._gateways[record.gateway].open_requests[record.request] = request

    def _client_detached(self, record: ClientDetached) -> None:
        request = self._gateways[record.gateway].open_requests.get(record.request)
        if request is not None:
            request.excused = True

    def _request_abandoned(self, record: RequestAbandoned) -> None:
        gateway = self._gateways[record.gateway]
        request = response_rule.finish_request(gateway, record.request, record.at)
        if request is None:
            return
        if self._shared_state.recorded(record.gateway, request.received.request_id):
            return
        for attempt in request.own_attempts.values():
            # The ledger did not record the request, so a client retry is a new request, even at this gateway.
            # Without a gateway, this attempt does not count as a possible execution of the retry.
            attempt.gateway = NO_GATEWAY

    def _response_sent(self, record: ResponseSent) -> None:
        gateway = self._gateways[record.gateway]
        request = response_rule.finish_request(gateway, record.request, record.at)
        if request is None:
            self._report_violation(response_rule.unexpected_response(record, gateway))
            return
        self._report_violation(response_rule.check_in_time(self.parameters, record, request))
        self._report_violation(
            effect_rule.check_rejection(self.parameters, record, request, self._shared_state.recorded)
        )

    # Handlers of the records of attempts

    def _attempt_sent(self, record: AttemptSent) -> None:
        gateway = self._gateways[record.gateway]
        request = gateway.open_requests.get(record.request)
        if request is None:
            self._report_violation(response_rule.unexpected_attempt(record, gateway))
            return
        server = gateway.servers.get(record.server)
        self._report_violation(
            effect_rule.check_retry(self.parameters, record, request, server, self._shared_state.recorded)
        )
        self._report_violation(endpoint_rule.check_listed(self.parameters, record, server))
        for violation in exposure_rule.check_attempt(self.parameters, record, gateway, request):
            self._report_violation(violation)
        self._record_attempt(record, request, server)

    @staticmethod
    def _record_attempt(record: AttemptSent, request: OpenRequest, server: KnownServer | None) -> None:
        attempt = ObservedAttempt(record.server, record.build, record.at, gateway=record.gateway)
        if server is not None:
            attempt.cell = server.cell
            attempt.site = server.site
        request.own_attempts[record.attempt] = attempt
        request.attempts.append(attempt)

    def _attempt_ended(self, record: AttemptEnded) -> None:
        request = self._gateways[record.gateway].open_requests.get(record.request)
        attempt = request.own_attempts.get(record.attempt) if request is not None else None
        if attempt is not None and not record.executed:
            attempt.may_have_executed = False

    # Handlers of the records of servers and builds

    def _endpoint_listed(self, record: EndpointListed) -> None:
        endpoint_rule.record_listing(self._gateways[record.gateway], record)

    def _instance_overloaded(self, record: InstanceOverloaded) -> None:
        self._report_violation(endpoint_rule.slow_start_overload(record))

    def _rollout_updated(self, record: RolloutUpdated) -> None:
        exposure_rule.record_rollout_update(self.parameters, self._gateways[record.gateway], record)

    def _key_answered(self, record: KeyAnswered) -> None:
        exposure_rule.record_answered_key(self._gateways[record.gateway], record)
