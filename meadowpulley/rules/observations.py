"""What the trace checker observes: attempts, open requests, servers and gateway incarnations."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field

from meadowpulley.interface import DeduplicationScope
from meadowpulley.rules.trace import RequestReceived, RolloutUpdated
from meadowpulley.rules.violations import NO_GATEWAY


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt, with what is known of its execution."""

    server: int
    build: int
    sent_at: float
    may_have_executed: bool = True  # executed, may have executed, or is outstanding
    cell: int = 0
    site: int = 0
    gateway: int = NO_GATEWAY


@dataclass(slots=True)
class OpenRequest:
    """A request that has no final response yet."""

    received: RequestReceived
    # Attempts of all gateways under the same id, and those of this gateway by number.
    attempts: list[ObservedAttempt] = field(default_factory=list)
    own_attempts: dict[int, ObservedAttempt] = field(default_factory=dict)
    excused: bool = False  # its deadline passed while the gateway was paused


@dataclass(slots=True)
class KnownServer:
    """A server as it was listed to a gateway."""

    state: str
    build: int
    removed_at: float  # when it was first listed as no longer ready
    cell: int
    site: int


def group_member(group: DeduplicationScope, location: ObservedAttempt | KnownServer) -> int:
    """Return the index of the group of servers that know the same idempotency keys."""
    match group:
        case DeduplicationScope.ALL:
            return 0
        case DeduplicationScope.ZONE:
            return location.site
        case DeduplicationScope.CELL:
            return location.cell


class GatewayState:
    """What the trace says of one gateway incarnation."""

    def __init__(self) -> None:
        self.open_requests: dict[int, OpenRequest] = {}
        self.finished: set[int] = set()
        self.finished_order: deque[tuple[float, int]] = deque()
        self.paused_at = math.inf  # start of the current pause
        self.servers: dict[int, KnownServer] = {}
        self.rollout_updates: list[RolloutUpdated] = []
        self.received_at: dict[int, list[float]] = defaultdict(list)
        self.trial_attempts: dict[tuple[int, int], deque[float]] = defaultdict(deque)
        self.keys_by_build: dict[int, dict[int, int]] = defaultdict(dict)  # build -> key -> 1
