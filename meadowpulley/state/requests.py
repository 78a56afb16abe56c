"""What the policy keeps of requests that are owed an answer, and of their attempts."""

from __future__ import annotations

from meadowpulley.interface import (
    DeduplicationScope,
    Effect,
    PriorAttempt,
    Request,
    RequestClass,
    ServerEntry,
    ServerState,
)
from meadowpulley.state.servers import Server


class InFlightRequest:
    """A request that is owed its final answer."""

    def __init__(
        self, request: Request, request_class: RequestClass, now: float, exposure_per_class: bool
    ) -> None:
        self.request, self.request_class, self.arrived_at = request, request_class, now
        self.attempt_count, self.outstanding = request.prior_attempt_count, 0
        self.exposure_class = (
            request.class_index if exposure_per_class else -1
        )  # counted together for the cap
        self.attempted_servers = [prior.server for prior in request.prior_attempts]
        # Attempts that were executed, may have been, or have no outcome yet.
        self.possible_executions = [_prior_attempt(self, prior) for prior in request.prior_attempts]
        self.streaming = False  # part of a response has reached the client
        self.randomized = False  # chance decided between the builds
        self.probed_servers: list[int] = []

    @property
    def effect(self) -> Effect:
        """Whether the request may be executed more than once."""
        return self.request_class.effect

    @property
    def deduplicated_everywhere(self) -> bool:
        """Whether any server drops a repeat: the client's too, unless another gateway had the request."""
        everywhere = self.request_class.deduplication_scope is DeduplicationScope.ALL
        return self.effect is Effect.IDEMPOTENT_WITH_KEY and everywhere and not self.request.prior_attempts

    def add_attempt(self, attempt: Attempt) -> None:
        """Record an attempt that is sent now."""
        self.attempt_count += 1
        self.outstanding += 1
        self.attempted_servers.append(attempt.server.id)
        self.possible_executions.append(attempt)


class Attempt:
    """One attempt; the first of each request is kept as a sample of its build's latency cost."""

    def __init__(
        self,
        in_flight: InFlightRequest,
        server: Server,
        queue_length: float,
        sent_at: float,
        slow_start_fraction: float,
        randomized: bool,
    ) -> None:
        self.in_flight, self.server = in_flight, server
        self.number = in_flight.attempt_count - in_flight.request.prior_attempt_count
        self.queue_length, self.sent_at = queue_length, sent_at
        self.slow_start_fraction = slow_start_fraction
        self.randomized = (
            randomized and not in_flight.attempt_count
        )  # chance decides for first attempts alone
        self.latency_ms: float | None = None
        self.unattributable = False  # no response, or one of unknown latency: not the build's doing

    def latency_cost(self, now: float) -> float:
        """Return the latency in ms, or the age while outstanding, as if the server were warmed up."""
        return self.slow_start_fraction * (
            self.latency_ms if self.latency_ms is not None else now - self.sent_at
        )


def _prior_attempt(in_flight: InFlightRequest, prior: PriorAttempt) -> Attempt:
    """Return an attempt of an earlier incarnation, kept like an outstanding one; it has no number here."""
    endpoint = ServerEntry(
        prior.server, prior.cell, prior.zone, ServerState.REMOVED, prior.build, 0.0, 0, 0.0
    )
    attempt = Attempt(in_flight, Server(endpoint), 0.0, prior.sent_ms, 0.0, False)
    attempt.number = -1
    return attempt
