"""What one gateway of the shared-state model holds: its stages, its requests, and the queues around it."""

from __future__ import annotations

import math
from collections import deque
from typing import Any, Protocol, Self

from meadowpulley.interface import (
    Phase,
    Result,
    RolloutUpdate,
)
from meadowpulley.ledger import (
    Commit,
    CommitCompleted,
    Incarnation,
    LedgerChanged,
    MemoryStore,
    Scan,
    ScanCompleted,
)
from meadowpulley.ledger.lease_manager import LeaseManager
from meadowpulley.lending import LendingStage
from meadowpulley.model_checking.choices import ScriptedRandom
from meadowpulley.model_checking.errors import ModelCheckingError
from meadowpulley.model_checking.graph import Copier, FormRules, FormWriter, fingerprint_of
from meadowpulley.model_checking.policy_model.canonical_form import UNCHANGING_POLICY_FIELDS
from meadowpulley.model_checking.shared_state_model.configurations import (
    BUILD,
    Configuration,
)
from meadowpulley.model_checking.shared_state_model.invariant_monitor import InvariantMonitor
from meadowpulley.policy import RolloutPolicy

RANDOM = ScriptedRandom()
RELEASED_BUILD = RolloutUpdate(BUILD, 0, Phase.RELEASED, 1.0, 60_000.0)
CHANNELS = ("commits", "looks")
IGNORED_FIELDS = {
    "RolloutPolicy": UNCHANGING_POLICY_FIELDS | {"rng"},
    "InFlightRequest": frozenset({"request_class"}),
    "TakeoverStage": frozenset({"entries", "handlers", "settings"}),
    "LendingStage": frozenset({"settings", "priority_weights"}),
    "TransactionBuilder": frozenset({"actions", "transactions", "intents", "now"}),
}
FORM_RULES = FormRules(IGNORED_FIELDS, {})
COPIER = Copier(shared=(ScriptedRandom,))
UNCOPIED_FIELDS = ("number", "configuration", "fingerprint_cache")


class Environment(Protocol):
    """What a gateway sees of its model."""

    now: float
    store: MemoryStore
    monitor: InvariantMonitor

    def record_message(self, sender: str, receiver: str, text: str) -> None:
        """Record what one party says to another."""

    def has_ended(self, request_id: str) -> bool:
        """Tell whether the ledger has the end of a request."""


class OutstandingAttempt:
    """One attempt that the stages sent: its bytes wait, are out, or its outcome was received."""

    def __init__(self, server: int, sent_at: float) -> None:
        self.server = server
        self.sent_at = sent_at


class PendingRequest:
    """A request in the gateway's table; an adopted one has no client that waits."""

    def __init__(
        self,
        request_id: str,
        request_index: int,
        request_class: int,
        deadline_ms: float,
        client_waiting: bool,
    ) -> None:
        self.request_id = request_id
        self.request_index = request_index
        self.request_class = request_class
        self.deadline_ms = deadline_ms
        self.client_waiting = client_waiting
        self.answered = False
        self.requested_at = math.inf  # by its client
        self.response_at = math.inf  # by an instance
        self.attempt_count = 0
        self.outstanding_attempts: dict[int, OutstandingAttempt] = {}


class GatewayState:
    """What one gateway and the queues around it hold; copied, and written in canonical form."""

    policy: RolloutPolicy  # since the start
    lease_manager: LeaseManager  # since the start

    def __init__(self, number: int, configuration: Configuration) -> None:
        self.number = number
        self.configuration = configuration
        self.running = False
        self.stopped = False
        self.killed_at = math.inf  # after a planned stop
        self.lease_released = False
        self.incarnation: Incarnation | None = None
        self.quota_stage: LendingStage | None = None
        self.ledger_outbox: deque[Commit | Scan] = deque()  # requested, not carried out
        # Commits that it hears of no more, and that may still be carried out.
        self.delayed_commits: deque[tuple[Incarnation, Commit]] = deque()
        self.ledger_replies: deque[CommitCompleted | ScanCompleted] = deque()  # carried out, not received
        self.unsent_attempts: deque[tuple[int, int]] = deque()  # request and attempt: sent, and not out yet
        self.unheard_outcomes: deque[tuple[int, int, Result, str]] = deque()  # arrived, and not received
        self.pending_view: LedgerChanged | None = None  # read, and not dispatched
        self.ledger_version = 0  # of the ledger, up to which it was notified
        self.watched_prefixes: tuple[str, ...] | None = None
        self.timers: list[tuple[float, int]] = []
        self.pending_requests: dict[int, PendingRequest] = {}
        self.last_request = 0
        self.blocked_channels: set[str] = set()  # channels that carry nothing now
        self.lease_ends_at = -math.inf  # end of its own lease, as it knows it
        self.renewals_sent_at: dict[int, float] = {}
        self.fingerprint_cache: list[int] = []
        self._events: deque[object] = deque()

    @property
    def name(self) -> str:
        """The gateway's name in messages."""
        return f"gateway {self.number}"

    @property
    def knows_it_is_fenced(self) -> bool:
        """Whether it has learned that its incarnation is fenced."""
        return self.lease_manager.fenced

    @property
    def idle(self) -> bool:
        """Return whether nothing is in flight."""
        unanswered = any(not s.answered or s.outstanding_attempts for s in self.pending_requests.values())
        return not (
            unanswered
            or self.ledger_outbox
            or self.ledger_replies
            or self.unsent_attempts
            or self.unheard_outcomes
        )

    def own_incarnation(self) -> Incarnation:
        """Return the incarnation.

        Raises:
            ModelCheckingError: The gateway was never started, so that the step at hand is not enabled.
        """
        if self.incarnation is None:
            raise ModelCheckingError(f"{self.name} has no incarnation; start it first")
        return self.incarnation

    def admission_rate(self, now: float) -> float:
        """Units a second that its lending goes by: what its floor and its grant allow now."""
        if not self.running or self.quota_stage is None:
            return 0.0
        enforcer = self.quota_stage.enforcer
        granted = enforcer.grant.total if enforcer.grant is not None and now < enforcer.grant_until else 0.0
        return float(granted + (enforcer.floor if now < enforcer.floor_until else 0.0))

    # Copies and forms

    def copy(self) -> Self:
        """Return an independent copy."""
        duplicate = type(self).__new__(type(self))
        memo: dict[int, Any] = {}
        for name, value in self.__dict__.items():
            if name == "fingerprint_cache":
                duplicate.fingerprint_cache = []
            elif name in UNCOPIED_FIELDS:
                duplicate.__dict__[name] = value
            else:
                duplicate.__dict__[name] = COPIER.copy(value, memo)
        return duplicate

    def form(self) -> object:
        """Return the state in canonical form."""
        writer = FormWriter(FORM_RULES)
        return tuple(
            writer.write(value) for name, value in self.__dict__.items() if name not in UNCOPIED_FIELDS
        )

    def fingerprint(self) -> int:
        """Return 64 bits of the form, worked out once per state."""
        if not self.fingerprint_cache:
            self.fingerprint_cache.append(fingerprint_of(self.form()))
        return self.fingerprint_cache[0]
