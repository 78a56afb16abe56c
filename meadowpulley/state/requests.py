"""What the policy keeps of requests that are owed an answer, and of their attempts."""

from __future__ import annotations

from typing import NamedTuple

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

ALL_CLASSES = -1  # the exposure class of all requests where classes are counted together
PRIOR_ATTEMPT_NUMBER = -1  # attempts of an earlier incarnation have no number at this gateway


class InFlightRequest:
    """A request that is owed its final answer."""

    def __init__(
        self, request: Request, request_class: RequestClass, now: float, exposure_per_class: bool
    ) -> None:
        """Begin with a request that arrives `now`, with the attempts that other gateways made for it."""
        self.request = request
        self.request_class = request_class
        self.arrived_at = now
        self.attempt_count = request.prior_attempt_count
        self.outstanding = 0  # attempts without an outcome
        # Requests of one exposure class share the exposure cap.
        self.exposure_class = request.class_index if exposure_per_class else ALL_CLASSES
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


class SendConditions(NamedTuple):
    """What was known of a server when an attempt was sent to it."""

    queue_length: float  # mean count of this gateway's attempts at the candidates
    slow_start_fraction: float  # of the server's capacity, 0 to 1
    randomized: bool  # whether chance decided between the builds


class Attempt:
    """One attempt; the first of each request is kept as a sample of its build's latency cost."""

    def __init__(
        self, in_flight: InFlightRequest, server: Server, sent_at: float, conditions: SendConditions
    ) -> None:
        """Begin with the next attempt of a request, sent to a server at a time in ms."""
        self.in_flight = in_flight
        self.server = server
        self.number = in_flight.attempt_count - in_flight.request.prior_attempt_count
        self.sent_at = sent_at
        self.queue_length = conditions.queue_length
        self.slow_start_fraction = conditions.slow_start_fraction
        # Retries avoid the servers of earlier attempts, so chance decides for first attempts alone.
        self.randomized = conditions.randomized and not in_flight.attempt_count
        self.latency_ms: float | None = None
        self.unattributable = False  # no response, or one of unknown latency: not the build's doing

    def latency_cost(self, now: float) -> float:
        """Return the latency in ms, or the age while outstanding, as if the server were warmed up."""
        elapsed_ms = self.latency_ms if self.latency_ms is not None else now - self.sent_at
        return self.slow_start_fraction * elapsed_ms


PRIOR_CONDITIONS = SendConditions(0.0, 0.0, False)  # nothing is learnt from attempts of other gateways


def _prior_attempt(in_flight: InFlightRequest, prior: PriorAttempt) -> Attempt:
    """Return an attempt of an earlier incarnation, kept like an outstanding one."""
    endpoint = ServerEntry(
        server=prior.server,
        cell=prior.cell,
        zone=prior.zone,
        state=ServerState.REMOVED,
        build=prior.build,
        started_ms=0.0,
        kind=0,
        weight=0.0,
    )
    attempt = Attempt(in_flight, Server(endpoint), prior.sent_ms, PRIOR_CONDITIONS)
    attempt.number = PRIOR_ATTEMPT_NUMBER
    return attempt
