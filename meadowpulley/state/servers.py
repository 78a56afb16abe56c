"""State of one server."""

from __future__ import annotations

import math

from meadowpulley.gossip.list_confirmation_codec import fingerprint
from meadowpulley.interface import Candidate, DeduplicationScope, ServerEntry, ServerState


class Server:
    """One run of a server.

    A restart of a server, or a change of its build, creates a new `Server` with the same number. Times
    are milliseconds on the clock of the events.
    """

    def __init__(self, endpoint: ServerEntry) -> None:
        """Start with a healthy server that is listed as `endpoint`."""
        self.id = endpoint.server
        self.kind = endpoint.kind
        self.cell = endpoint.cell
        self.zone = endpoint.zone
        self.build = endpoint.build
        self.started_ms = endpoint.started_ms
        self.state = endpoint.state
        self.fingerprint = fingerprint(endpoint.server, endpoint.build, endpoint.started_unix_ms)
        self.outstanding = 0  # number of this gateway's attempts at the server without an outcome
        # Overload windows are divided into time slots, numbered from time 0. This is the number of the slot
        # for which `slow_start_budget` was last drawn at random, or -1 before the first draw.
        self.slow_start_slot = -1
        self.slow_start_budget = -1  # number of attempts that may still be sent in `slow_start_slot`
        self.failure_rate = 0.0  # exponentially weighted moving average of failures, 0 to 1
        self.ejected_until = 0.0
        # Length of the last ejection in ms. While this length is above 0, the server gets at most one
        # request at a time. The length returns to 0 when a success lowers `failure_rate` below
        # EJECTION_FAILURE_RATE.
        self.ejection_ms = 0.0
        self.last_failure_at = -math.inf
        self.last_response_at = -math.inf
        # Latest time at which discovery listed this run of the server as ready, as confirmed by another
        # gateway.
        self.peer_confirmed_at = -math.inf

    def as_candidate(self, slow_start_fraction: float, mean_latency_ms: float, home_zone: int) -> Candidate:
        """Return the data that a placement policy gets on this server."""
        return Candidate(
            server=self.id,
            zone=self.zone,
            cell=self.cell,
            kind=self.kind,
            build=self.build,
            outstanding=self.outstanding,
            slow_start_fraction=slow_start_fraction,
            typical_latency_ms=mean_latency_ms,
            same_zone=self.zone == home_zone,
        )

    @property
    def is_ready(self) -> bool:
        """Whether discovery lists the server as ready for requests."""
        return self.state is ServerState.READY

    def in_scope(self, scope: DeduplicationScope, other: Server) -> bool:
        """Tell whether the two servers share idempotency keys: each drops repeats of the other's requests."""
        if scope is DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope is DeduplicationScope.ALL or self.cell == other.cell
