"""What the policy keeps of one server."""

from __future__ import annotations

import math

from meadowpulley.gossip.list_confirmation_codec import fingerprint
from meadowpulley.interface import Candidate, DeduplicationScope, ServerEntry, ServerState


class Server:
    """One start of one server: a restart, or another build under the same number, is a new one.

    Times are milliseconds on the clock of the events.
    """

    def __init__(self, endpoint: ServerEntry) -> None:
        """Begin with a healthy server, as an endpoint list names it."""
        self.id = endpoint.server
        self.kind = endpoint.kind
        self.cell = endpoint.cell
        self.zone = endpoint.zone
        self.build = endpoint.build
        self.started_ms = endpoint.started_ms
        self.state = endpoint.state
        self.fingerprint = fingerprint(endpoint.server, endpoint.build, endpoint.started_unix_ms)
        self.outstanding = 0  # attempts of this gateway that have no outcome yet
        self.slow_start_slot = -1  # the slot of the overload window for which the budget was drawn
        self.slow_start_budget = -1  # requests that may still be sent in that slot
        self.failure_rate = 0.0  # exponentially weighted moving average
        self.ejected_until = 0.0
        # Length of the last ejection; while it is above 0 the server gets one request at a time.
        self.ejection_ms = 0.0
        self.last_failure_at = -math.inf
        self.last_response_at = -math.inf
        # Until then discovery listed it as it is known here, by what another gateway says.
        self.peer_confirmed_at = -math.inf

    def as_candidate(self, slow_start_fraction: float, mean_latency_ms: float, home_zone: int) -> Candidate:
        """Return the server as a placement policy sees it."""
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
        """Whether the server takes requests."""
        return self.state is ServerState.READY

    def in_scope(self, scope: DeduplicationScope, other: Server) -> bool:
        """Tell whether both servers drop each other's repeats of a request with an idempotency key."""
        if scope is DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope is DeduplicationScope.ALL or self.cell == other.cell
