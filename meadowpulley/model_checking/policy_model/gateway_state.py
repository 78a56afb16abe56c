"""What one gateway of the policy model holds: a real policy, and what it is owed and owes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol, Self

from meadowpulley.interface import (
    Event,
    RolloutUpdate,
    SendGossip,
    ServerEntry,
    Settings,
    Vote,
)
from meadowpulley.model_checking.graph import FormWriter, fingerprint_of
from meadowpulley.model_checking.invariant_monitor import InvariantMonitor
from meadowpulley.model_checking.policy_model.canonical_form import (
    COPIER,
    FORM_RULES,
    NAMELESS_FORM_RULES,
)
from meadowpulley.model_checking.policy_model.configurations import Configuration
from meadowpulley.policy import RolloutPolicy

SHARED_FIELDS = ("settings", "make_policy")


class Environment(Protocol):
    """What a gateway sees of its model."""

    now: float
    configuration: Configuration
    server_lists: tuple[tuple[ServerEntry, ...], ...]

    def entry_at(self, version: int, server: int) -> ServerEntry | None:
        """Return the entry of a server in a version of the list, or None."""

    def record_message(self, sender: str, receiver: str, text: str) -> None:
        """Record what one party says to another."""


class OutstandingAttempt:
    """An attempt whose outcome has not come."""

    def __init__(self, server: int, build: int, sent_at: float) -> None:
        self.server = server
        self.build = build
        self.sent_at = sent_at
        self.response_sent = False  # the server has answered; what it said is under way


class PendingRequest:
    """A request in a gateway's table."""

    def __init__(self, kind: int, deadline_ms: float) -> None:
        self.kind = kind
        self.deadline_ms = deadline_ms
        self.attempt_count = 0
        self.answered = False
        self.outstanding_attempts: dict[int, OutstandingAttempt] = {}


class GatewayState:
    """What one gateway and the parties around it owe each other; copied, and written in canonical form."""

    policy: RolloutPolicy  # since the start

    def __init__(
        self, number: int, settings: Settings, make_policy: Callable[[Settings, int], RolloutPolicy]
    ) -> None:
        self.number = number
        self.settings = settings
        self.make_policy = make_policy
        self.monitor = InvariantMonitor(number, settings)
        self.pending_requests: dict[int, PendingRequest] = {}
        self.last_request = 0
        self.known_list = -1  # the version of the list it knows
        self.rollout_updates_due: tuple[RolloutUpdate, ...] = ()
        self.timers: list[float] = []
        self.votes: tuple[tuple[Vote, float], ...] = ()  # under way, and since when
        self.vote_replies_due: list[tuple[float, RolloutUpdate]] = []  # what a lost vote ends with, and when
        self.datagrams: tuple[SendGossip, ...] = ()
        # Key and build of attempts that were given up and may yet be answered.
        self.abandoned_keys: tuple[tuple[int, int], ...] = ()
        self.list_requested = False
        self.list_retry_owed = False  # a call failed, and whoever must ask has not asked again
        # Of this state, until it steps: its fingerprint by the renaming of servers, and one for each server.
        self.fingerprint_cache: dict[tuple[tuple[int, int], ...], int] = {}
        self.server_fingerprint_cache: tuple[int, ...] = ()
        self._events: deque[Event] = deque()

    def copy(self) -> Self:
        """Return an independent copy."""
        memo: dict[int, Any] = {}
        duplicate = type(self).__new__(type(self))
        for name, value in self.__dict__.items():
            if name == "fingerprint_cache":
                duplicate.fingerprint_cache = {}
            elif name == "server_fingerprint_cache":
                duplicate.server_fingerprint_cache = ()
            elif name in SHARED_FIELDS:
                duplicate.__dict__[name] = value
            else:
                duplicate.__dict__[name] = COPIER.copy(value, memo)
        return duplicate

    def form(self, server_numbers: dict[int, int]) -> object:
        """The state of this gateway, with servers renamed."""
        writer = FormWriter(FORM_RULES, server_numbers)
        return (
            writer.write(self.policy),
            writer.write(self.monitor),
            writer.write(self.pending_requests),
            self.known_list,
            writer.write(self.rollout_updates_due),
            tuple(self.timers),
            writer.write(self.votes),
            writer.write(self.vote_replies_due),
            writer.write(self.datagrams),
            self.abandoned_keys,
            self.list_requested,
            self.list_retry_owed,
        )

    def fingerprint(self, server_numbers: dict[int, int]) -> int:
        """64 bits of the form."""
        cache_key = tuple(server_numbers.items())
        if cache_key not in self.fingerprint_cache:
            self.fingerprint_cache[cache_key] = fingerprint_of(self.form(server_numbers))
        return self.fingerprint_cache[cache_key]

    def server_fingerprints(self, numbers: Sequence[int]) -> tuple[int, ...]:
        """What this gateway knows and holds of each server, the number apart."""
        if len(self.server_fingerprint_cache) != len(numbers):
            self.server_fingerprint_cache = tuple(self._server_fingerprint(number) for number in numbers)
        return self.server_fingerprint_cache

    def _server_fingerprint(self, number: int) -> int:
        server = FormWriter(NAMELESS_FORM_RULES, {number: 0}).write(self.policy.servers.get(number))
        outstanding = []
        for request, pending in self.pending_requests.items():
            for attempt, attempt_out in pending.outstanding_attempts.items():
                if attempt_out.server == number:
                    outstanding.append((request, attempt, attempt_out.sent_at))
        attempted = [
            (request, in_flight.attempted_servers.index(number))
            for request, in_flight in self.policy.in_flight.items()
            if number in in_flight.attempted_servers
        ]
        return fingerprint_of((server, tuple(sorted(outstanding)), tuple(sorted(attempted))))
