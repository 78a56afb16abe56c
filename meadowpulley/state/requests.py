"""State of requests that have no final response yet, and of their attempts."""

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

ALL_CLASSES = -1  # exposure class of all requests if exposure is not counted per request class
PRIOR_ATTEMPT_NUMBER = -1  # stands in for the unknown number of an attempt made by an earlier gateway


class InFlightRequest:
    """A request that has no final response yet."""

    def __init__(
        self, request: Request, request_class: RequestClass, now: float, exposure_per_class: bool
    ) -> None:
        """Record a request that arrives at the time `now`, with the attempts of earlier gateways."""
        self.request = request
        self.request_class = request_class
        self.arrived_at = now
        self.attempt_count = request.prior_attempt_count
        self.outstanding = 0  # number of attempts without an outcome
        # The exposure cap applies to all requests of one exposure class together.
        self.exposure_class = request.class_index if exposure_per_class else ALL_CLASSES
        self.attempted_servers = [prior.server for prior in request.prior_attempts]
        # Attempts that a server executed, may have executed, or may still execute.
        self.possible_executions = [_prior_attempt(self, prior) for prior in request.prior_attempts]
        self.streaming = False  # whether part of a response was sent to the client
        self.randomized = False  # whether the request's build was chosen at random
        self.probed_servers: list[int] = []

    @property
    def effect(self) -> Effect:
        """Whether the request may be executed more than once."""
        return self.request_class.effect

    @property
    def deduplicated_everywhere(self) -> bool:
        """Whether every server discards a repeat of the request, including a retry by the client.

        The value is false if an earlier gateway may have sent the request to a server.
        """
        everywhere = self.request_class.deduplication_scope is DeduplicationScope.ALL
        return self.effect is Effect.IDEMPOTENT_WITH_KEY and everywhere and not self.request.prior_attempts

    def add_attempt(self, attempt: Attempt) -> None:
        """Record an attempt that is sent now."""
        self.attempt_count += 1
        self.outstanding += 1
        self.attempted_servers.append(attempt.server.id)
        self.possible_executions.append(attempt)


class SendConditions(NamedTuple):
    """The conditions under which an attempt was sent to a server."""

    queue_length: float  # mean number of this gateway's outstanding attempts per candidate server
    slow_start_fraction: float  # server's capacity as a fraction of its warmed-up capacity, 0 to 1
    randomized: bool  # whether the attempt's build was chosen at random


class Attempt:
    """One attempt of a request; first attempts are kept as samples of their build's latency cost."""

    def __init__(
        self, in_flight: InFlightRequest, server: Server, sent_at: float, conditions: SendConditions
    ) -> None:
        """Create the next attempt of a request, sent to a server at the time `sent_at` in ms."""
        self.in_flight = in_flight
        self.server = server
        self.number = in_flight.attempt_count - in_flight.request.prior_attempt_count
        self.sent_at = sent_at
        self.queue_length = conditions.queue_length
        self.slow_start_fraction = conditions.slow_start_fraction
        # Retries avoid the servers of earlier attempts, so only first attempts get a build at random.
        self.randomized = conditions.randomized and not in_flight.attempt_count
        self.latency_ms: float | None = None
        # Whether the outcome cannot be attributed to the build: the attempt got no response or one of
        # unknown latency, or an error from a server that often fails.
        self.unattributable = False

    def latency_cost(self, now: float) -> float:
        """Return the latency, or the age of an outstanding attempt, in ms, scaled to a warmed-up server."""
        elapsed_ms = self.latency_ms if self.latency_ms is not None else now - self.sent_at
        return self.slow_start_fraction * elapsed_ms


PRIOR_CONDITIONS = SendConditions(0.0, 0.0, False)  # attempts by earlier gateways are no latency samples


def _prior_attempt(in_flight: InFlightRequest, prior: PriorAttempt) -> Attempt:
    """Return a record of an attempt that an earlier gateway made; its outcome is unknown."""
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
