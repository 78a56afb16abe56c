"""A scripted policy for takeover tests, and the settings of the gateways in these tests."""

from __future__ import annotations

from collections import Counter
from typing import Any

from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    Fail,
    Limits,
    Outcome,
    Reject,
    Request,
    Result,
    Rollout,
    Rules,
    Send,
    Settings,
    Tenant,
)
from meadowpulley.settings.types import DeduplicationScope, Effect, RequestClass

NOT_EXECUTED_RESULTS = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
CLASSES = (
    RequestClass("read", 200.0, 4000.0, Effect.IDEMPOTENT),
    RequestClass("order", 200.0, 4000.0, Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE, 3500.0, 2.0),
    RequestClass("pay", 200.0, 6000.0, Effect.NON_IDEMPOTENT, priority_weight=3.0),
)
READ = 0
ORDER = 1
PAY = 2
MAX_ATTEMPTS = 3
SETTINGS = Settings(
    0,
    3,
    0,
    ("z",),
    10.0,
    CLASSES,
    (Tenant("t"),),
    Rules(response_slack_ms=50.0),
    Limits(max_attempts=MAX_ATTEMPTS),
    Rollout(),
)


class ScriptedPolicy:
    """Sends each request to server 1; retries if earlier attempts allow it, up to three attempts in all."""

    def __init__(self) -> None:
        self.in_flight: dict[int, Request] = {}
        self.possible_executions: dict[int, dict[int, float]] = {}
        self.attempt_counts: Counter[int] = Counter()
        self.received: list[Request] = []
        self.has_no_server = False
        self.rejects = False
        self.now = 0.0

    def handle(self, now: float, event: object) -> list[Any]:
        self.now = now
        match event:
            case Request():
                return self._on_request(event)
            case Outcome():
                return self._on_outcome(event)
            case ClientDisconnected():
                return self._on_client_disconnected(event)
        return []

    def _on_request(self, request: Request) -> list[Any]:
        if self.rejects:
            return [Reject(request.request)]
        self.in_flight[request.request] = request
        self.received.append(request)
        self.attempt_counts[request.request] = request.prior_attempt_count
        # The attempts of earlier owners are given negative numbers here.
        self.possible_executions[request.request] = {
            -1 - index: prior.sent_ms for index, prior in enumerate(request.prior_attempts)
        }
        return [] if self.has_no_server else self._next(request)

    def _on_outcome(self, outcome: Outcome) -> list[Any]:
        if outcome.result in NOT_EXECUTED_RESULTS:
            del self.possible_executions[outcome.request][outcome.attempt]
        if outcome.request_complete:
            self.in_flight.pop(outcome.request, None)
            return []
        if outcome.request not in self.in_flight:
            return []
        return self._next(self.in_flight[outcome.request])

    def _on_client_disconnected(self, event: ClientDisconnected) -> list[Any]:
        if event.request not in self.in_flight:
            return []
        del self.in_flight[event.request]
        possible = self.possible_executions[event.request]
        return [Cancel(event.request, attempt) for attempt in possible if attempt >= 0]

    def _next(self, request: Request) -> list[Any]:
        possible = self.possible_executions[request.request]
        attempt_count = self.attempt_counts[request.request]
        if self._is_retry_forbidden(request) or attempt_count >= MAX_ATTEMPTS:
            del self.in_flight[request.request]
            return [Fail(request.request) if possible else Reject(request.request, 100.0)]
        # Each owner numbers its own attempts starting from 0.
        possible[attempt_count - request.prior_attempt_count] = self.now
        self.attempt_counts[request.request] += 1
        return [Send(request.request, 1)]

    def _is_retry_forbidden(self, request: Request) -> bool:
        """Return whether an attempt that may have been executed forbids another one."""
        request_class = CLASSES[request.class_index]
        sent_times = self.possible_executions[request.request].values()
        match request_class.effect:
            case Effect.NON_IDEMPOTENT:
                return bool(sent_times)
            case Effect.IDEMPOTENT_WITH_KEY:
                window_ms = request_class.deduplication_window_ms
                return any(self.now - sent_ms >= window_ms for sent_ms in sent_times)
        return False
