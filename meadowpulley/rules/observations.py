"""State derived from the trace: attempts, open requests, servers and gateway incarnations."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field

from meadowpulley.interface import DeduplicationScope
from meadowpulley.rules.trace import RequestReceived, RolloutUpdated
from meadowpulley.rules.violations import NO_GATEWAY


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt, and whether the server may have executed it."""

    server: int
    build: int
    sent_at: float
    may_have_executed: bool = True  # False once the server is known not to have executed it
    cell: int = 0
    site: int = 0
    gateway: int = NO_GATEWAY


@dataclass(slots=True)
class OpenRequest:
    """A request that has no final response yet."""

    received: RequestReceived
    # The attempts that any gateway sent for this request id.
    attempts: list[ObservedAttempt] = field(default_factory=list)
    # The attempts that this gateway sent, by attempt number.
    own_attempts: dict[int, ObservedAttempt] = field(default_factory=dict)
    # Whether a late or missing response is allowed: the deadline passed while the gateway was paused, the
    # client detached, or the gateway adopted the request.
    excused: bool = False


@dataclass(slots=True)
class KnownServer:
    """A server as the endpoint lists describe it to a gateway."""

    state: str
    build: int
    removed_at: float  # when the server was first listed as not ready (ms); infinite while it is ready
    cell: int
    site: int


def group_member(group: DeduplicationScope, location: ObservedAttempt | KnownServer) -> int:
    """Return the number of the deduplication group of a server, or of the server of an attempt.

    The servers of a group share their idempotency keys. The number is that of the site or the cell, or 0 if
    all servers form one group.
    """
    match group:
        case DeduplicationScope.ALL:
            return 0
        case DeduplicationScope.ZONE:
            return location.site
        case DeduplicationScope.CELL:
            return location.cell


class GatewayState:
    """State of one gateway incarnation, derived from the trace."""

    def __init__(self) -> None:
        self.open_requests: dict[int, OpenRequest] = {}
        self.finished: set[int] = set()
        self.finished_order: deque[tuple[float, int]] = deque()
        self.paused_at = math.inf  # start of the current pause (ms); infinite while the gateway runs
        self.servers: dict[int, KnownServer] = {}
        self.rollout_updates: list[RolloutUpdated] = []
        self.received_at: dict[int, list[float]] = defaultdict(list)
        self.trial_attempts: dict[tuple[int, int], deque[float]] = defaultdict(deque)
        # The keys that each build has answered. The inner dict is used as a set, and its values are all 1.
        self.keys_by_build: dict[int, dict[int, int]] = defaultdict(dict)
