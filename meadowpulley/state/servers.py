"""State of one server."""

from __future__ import annotations

import math

from meadowpulley.gossip.list_confirmation_codec import fingerprint
from meadowpulley.interface import Candidate, DeduplicationScope, ServerEntry, ServerState


class Server:
    """One run of a server: after a restart or with another build, the same number is a new `Server`.

    Times are milliseconds on the clock of the events.
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
        # The slot of the overload window for which `slow_start_budget` was drawn at random; -1 before the
        # first draw. Windows are divided into slots, which are numbered from time 0 on.
        self.slow_start_slot = -1
        self.slow_start_budget = -1  # attempts that may still be sent in that slot
        self.failure_rate = 0.0  # exponentially weighted moving average, 0 to 1
        self.ejected_until = 0.0
        # Length of the last ejection. While it is above 0, the server gets at most one request at a time.
        self.ejection_ms = 0.0
        self.last_failure_at = -math.inf
        self.last_response_at = -math.inf
        # Up to this time, according to another gateway, discovery listed the server as this gateway knows it.
        self.peer_confirmed_at = -math.inf

    def as_candidate(self, slow_start_fraction: float, mean_latency_ms: float, home_zone: int) -> Candidate:
        """Return the data on the server that a placement policy gets."""
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
        """Tell whether the two servers share idempotency keys: each drops repeats of the other's requests."""
        if scope is DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope is DeduplicationScope.ALL or self.cell == other.cell
