"""A small fleet for tests of takeover: stages over a scripted policy, one ledger in memory, virtual time.

Every gateway has its own clock. Instances respond after `execution_ms`, and count executions by request.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from functools import partial
from typing import Any

from meadowpulley.interface import (
    AdoptionFailed,
    Cancel,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    LedgerRecordIgnored,
    Limits,
    Outcome,
    Reject,
    Request,
    Result,
    Rollout,
    Rules,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    Tenant,
    Timer,
)
from meadowpulley.interface.log_wording import log_text
from meadowpulley.ledger import (
    Commit,
    CommitCompleted,
    LeaseManager,
    LeaseTimings as Lease,
    LedgerChanged,
    MemoryStore,
    Replace,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    WatchRequest,
)
from meadowpulley.settings.types import DeduplicationScope, Effect, RequestClass
from meadowpulley.takeover import (
    COMMIT_OWNER,
    WATCHED_PREFIXES,
    AdoptionResult,
    AdoptRequest,
    ClientRequest,
    Deliver,
    Discard,
    JournalScope,
    ResponseReady,
    TakeoverSettings,
    TakeoverStage,
)

LEASE_TERM_MS = 1000.0
POLL_INTERVAL_MS = 20.0
NOT_EXECUTED_RESULTS = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
CLASSES = (
    RequestClass("read", 200.0, 4000.0, Effect.IDEMPOTENT),
    RequestClass("order", 200.0, 4000.0, Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE, 3500.0, 2.0),
    RequestClass("pay", 200.0, 6000.0, Effect.NON_IDEMPOTENT, priority_weight=3.0),
)
READ, ORDER, PAY = range(3)
SETTINGS = Settings(
    0,
    3,
    0,
    ("z",),
    10.0,
    CLASSES,
    (Tenant("t"),),
    Rules(response_slack_ms=50.0),
    Limits(max_attempts=3),
    Rollout(),
)


class LedgerFault(Enum):
    """What is wrong with the ledger of one gateway."""

    NONE = "none"
    UNREACHABLE = "unreachable"  # nothing is committed, and the outcome is unknown
    UNCONFIRMED = "unconfirmed"  # commits of takeover are carried out, and the outcome is unknown
    SLOW = "slow"


class ScriptedPolicy:
    """Sends each request to server 1, and again where prior attempts allow it, three times at most."""

    def __init__(self) -> None:
        self.in_flight: dict[int, Request] = {}
        self.possible_executions: dict[int, dict[int, float]] = {}
        self.attempt_counts: Counter[int] = Counter()
        self.received: list[Request] = []
        self.has_no_server = self.rejects = False
        self.now = 0.0

    def handle(self, now: float, event: Any) -> list[Any]:
        self.now = now
        if isinstance(event, Request):
            if self.rejects:
                return [Reject(event.request)]
            self.in_flight[event.request] = event
            self.received.append(event)
            self.attempt_counts[event.request] = event.prior_attempt_count
            self.possible_executions[event.request] = {
                -1 - n: t.sent_ms for n, t in enumerate(event.prior_attempts)
            }
            return [] if self.has_no_server else self._next(event)
        if isinstance(event, Outcome):
            if event.result in NOT_EXECUTED_RESULTS:
                del self.possible_executions[event.request][event.attempt]
            if event.request_complete:
                self.in_flight.pop(event.request, None)
            elif event.request in self.in_flight:
                return self._next(self.in_flight[event.request])
        elif isinstance(event, ClientDisconnected) and event.request in self.in_flight:
            del self.in_flight[event.request]
            return [Cancel(event.request, n) for n in self.possible_executions[event.request] if n >= 0]
        return []

    def _next(self, request: Request) -> list[Any]:
        request_class, possible = CLASSES[request.class_index], self.possible_executions[request.request]
        outside_window = any(
            self.now - sent >= request_class.deduplication_window_ms for sent in possible.values()
        )
        barred = possible and (
            request_class.effect is Effect.NON_IDEMPOTENT
            or (request_class.effect is Effect.IDEMPOTENT_WITH_KEY and outside_window)
        )
        if barred or self.attempt_counts[request.request] >= 3:
            del self.in_flight[request.request]
            return [Fail(request.request) if possible else Reject(request.request, 100.0)]
        # Each owner numbers its own attempts from 0.
        possible[self.attempt_counts[request.request] - request.prior_attempt_count] = self.now
        self.attempt_counts[request.request] += 1
        return [Send(request.request, 1)]


class Gateway:
    """One gateway: the takeover stage and the lease manager round a `ScriptedPolicy`."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name, self.clock_offset_ms = fleet, name, 1e5 * (len(fleet.gateways) + 1)
        self.incarnation = fleet.store.register(name, LEASE_TERM_MS)
        self.decisions = ScriptedPolicy()
        self.lease_manager = LeaseManager(self.incarnation, Lease(term_ms=LEASE_TERM_MS), self.decisions)
        self.stage = TakeoverStage(
            SETTINGS, self.decisions, self.incarnation, self.lease_manager.holds_lease, fleet.settings
        )
        self.lease_manager.inner = self.stage
        self.running, self.paused, self.seen_version, self.last_request = True, False, 0, 0
        self.deferred_calls: list[Callable[[], None]] = []
        self.watched_incarnations: tuple[str, ...] | None = ()
        self.requests_by_handle: dict[int, tuple[str, int, float]] = {}  # client's id, class, deadline
        self.attempt_counts: Counter[int] = Counter()
        self.responses: dict[str, list[str]] = {}  # of its clients, by id
        self.log_lines: list[str] = []
        self.adopted: set[int] = set()
        self.finished: set[int] = set()
        self.ledger_fault = LedgerFault.NONE
        self.before_action: Callable[[Any], None] = lambda action: None
        self.carry_out_all(self.lease_manager.start(self.now))
        self.dispatch(
            EndpointUpdate(
                EndpointUpdateKind.FULL, 1, (ServerEntry(1, 0, 0, ServerState.READY, 7, 0, 0, 1.0),)
            )
        )
        self.poll()

    @property
    def now(self) -> float:
        return self.fleet.now + self.clock_offset_ms

    def dispatch(self, event: Any) -> None:
        self.carry_out_all(self.lease_manager.handle(self.now, event))

    def carry_out_all(self, actions: list[Any]) -> None:
        for action in actions:
            self.before_action(action)
            if not self.running:
                continue
            if self.paused:
                self.call_later(0.0, partial(self.carry_out, action))
            else:
                self.carry_out(action)

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        def run_or_defer() -> None:
            if self.running and self.paused:
                self.deferred_calls.append(callback)
            elif self.running:
                callback()

        self.fleet.call_at(self.fleet.now + delay_ms, run_or_defer)

    def resume(self) -> None:
        self.paused, deferred, self.deferred_calls = False, self.deferred_calls, []
        for callback in deferred:
            callback()

    def poll(self) -> None:
        if self.ledger_fault is not LedgerFault.UNREACHABLE:
            changes = self.fleet.store.changes(self.seen_version, WATCHED_PREFIXES, self.watched_incarnations)
            self.seen_version = changes.version
            self.dispatch(LedgerChanged(changes, self.now))
        self.call_later(POLL_INTERVAL_MS, self.poll)

    def carry_out(self, action: Any) -> None:
        match action:
            case SetTimer():
                self.call_later(action.delay_ms, lambda: self.dispatch(Timer(action.token)))
            case WatchRequest():
                self.watched_incarnations = action.names
            case Commit():  # with a fault that has passed, a later commit may be carried out before
                delay_ms = 400.0 if self.ledger_fault is LedgerFault.SLOW else 1.0
                self.fleet.call_at(self.fleet.now + delay_ms, lambda: self.commit(action))
            case Send():
                self._send(action)
            case AdoptRequest():
                self._adopt(action)
            case Deliver() | Reject() | Fail():
                self._respond(action)
            case LedgerRecordIgnored() | AdoptionFailed():
                self.log_lines.append(log_text(action))
            case Cancel():
                request_id, _, _ = self.requests_by_handle[action.request]
                self.fleet.cancelled.append((request_id, action.attempt))
            case _:
                assert isinstance(action, Discard), action

    def _send(self, action: Send) -> None:
        attempt = self.attempt_counts[action.request]
        self.attempt_counts[action.request] += 1
        request_id, class_index, _ = self.requests_by_handle[action.request]
        self.fleet.sent_at_ms.setdefault(request_id, []).append(self.fleet.now)
        self.fleet.execute(self, action.request, attempt, request_id, class_index)

    def _adopt(self, action: AdoptRequest) -> None:
        self.last_request += 1
        adopted = (action.request_id, action.class_index, action.deadline_ms)
        self.requests_by_handle[self.last_request] = adopted
        self.adopted.add(self.last_request)
        self.fleet.adopted.append((self.name, action.request_id))
        self.dispatch(AdoptionResult(action.request_id, self.last_request))

    def _respond(self, action: Deliver | Reject | Fail) -> None:
        request_id, _, _ = self.requests_by_handle[action.request]
        response = type(action).__name__
        if isinstance(action, Deliver):
            response = f"{action.status} {action.body.decode()}"
        if action.request not in self.adopted:
            self.responses.setdefault(request_id, []).append(response)
        assert action.request not in self.finished, "answered twice"
        self.finished.add(action.request)

    def commit(self, action: Commit) -> None:
        unknown = [TransactionResult(TransactionOutcome.UNKNOWN)] * len(action.transactions)
        if self.ledger_fault is LedgerFault.UNREACHABLE:
            results = unknown
        else:
            results = self.fleet.commit(self, action)
            if self.ledger_fault is LedgerFault.UNCONFIRMED and action.owner == COMMIT_OWNER:
                results = unknown
        completed = CommitCompleted(action.ticket, tuple(results), action.owner)
        self.call_later(1.0, lambda: self.dispatch(completed))

    def submit(
        self,
        request_id: str,
        class_index: int,
        body: bytes = b"b",
        remaining_ms: float = 4000.0,
        repeat: bool = False,
    ) -> int:
        """Send a request of a client; return its handle."""
        self.last_request += 1
        request = Request(self.last_request, class_index, 0, 5, self.now + remaining_ms, client_retry=repeat)
        self.requests_by_handle[self.last_request] = (request_id, class_index, self.now + remaining_ms)
        self.dispatch(ClientRequest(request, request_id, "POST", f"/{CLASSES[class_index].name}", (), body))
        return self.last_request


class Fleet:
    """Gateways on one ledger. `settings`: those of takeover that differ from the default."""

    def __init__(self, names: str = "abc", **settings: Any) -> None:
        self.now, self.last_call_number = 0.0, 0
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.store = MemoryStore()
        self.settings = replace(TakeoverSettings(journal_scope=JournalScope.ALL), **settings)
        self.executions: Counter[str] = Counter()  # of each request
        self.sent_at_ms: dict[str, list[float]] = {}  # when the attempts of each request were sent
        self.cancelled: list[tuple[str, int]] = []
        self.transaction_counts: Counter[str] = Counter()
        # Called for each committed transaction.
        self.on_commit: Callable[[Gateway, Transaction], None] = lambda gateway, transaction: None
        self.lost_replacements = 0  # records that had changed when they were to be replaced
        self.adopted: list[tuple[str, str]] = []
        self.execution_ms = 30.0
        self.results = [Result.OK]  # of the attempts in turn; the last one is repeated
        self.gateways: dict[str, Gateway] = {}
        for name in names:
            self.gateways[name] = Gateway(self, name)
        self.advance(300.0)

    def __getitem__(self, name: str) -> Gateway:
        return self.gateways[name]

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> None:
        self.last_call_number += 1
        heapq.heappush(self.scheduled, (at_ms, self.last_call_number, callback))

    def advance(self, duration_ms: float) -> Fleet:
        until_ms = self.now + duration_ms
        while self.scheduled and self.scheduled[0][0] <= until_ms:
            self.now, _, callback = heapq.heappop(self.scheduled)
            callback()
        self.now = until_ms
        return self

    def commit(self, gateway: Gateway, action: Commit) -> list[TransactionResult]:
        """Commit the transactions of a gateway, and count them."""
        results = self.store.commit(gateway.incarnation, action.transactions)
        self.transaction_counts[action.owner] += len(action.transactions)
        for transaction, result in zip(action.transactions, results, strict=True):
            if result.outcome is TransactionOutcome.COMMITTED:
                self.on_commit(gateway, transaction)
            replaces = isinstance(transaction.writes[0], Replace)
            self.lost_replacements += replaces and result.outcome is TransactionOutcome.CONFLICT
        return results

    def kill(self, name: str) -> None:
        self[name].running = False

    def pause(self, name: str, duration_ms: float) -> None:
        self[name].paused = True
        self.call_at(self.now + duration_ms, self[name].resume)

    def execute(
        self, gateway: Gateway, request: int, attempt: int, request_id: str, class_index: int
    ) -> None:
        """Execute an attempt at the instance; the gateway gets its outcome if it still runs."""
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        self.executions[request_id] += result not in NOT_EXECUTED_RESULTS
        body = f"run {self.executions[request_id]}".encode()

        def finish() -> None:
            served = result is Result.OK
            if served:
                gateway.dispatch(ResponseReady(request, 200, (), body))
            gateway.dispatch(Outcome(request, attempt, 1, result, self.execution_ms, request_complete=served))

        gateway.call_later(self.execution_ms, finish)

    def responses(self, request_id: str) -> list[str]:
        """Return what the clients of this id got, at all gateways."""
        return [word for g in self.gateways.values() for word in g.responses.get(request_id, [])]

    def record_keys(self, prefix: str = "takeover/") -> list[str]:
        return [r.key for r in self.store.scan(prefix)]


def interrupt_at(
    fleet: Fleet, action_type: type, skip: int, interrupt: Callable[[], None], name: str = "a"
) -> None:
    """Call `interrupt` right before an action of this type, once `skip` of them have passed.

    Of commits only those of takeover count.
    """
    remaining = [skip]

    def before(action: Any) -> None:
        if isinstance(action, action_type) and getattr(action, "owner", COMMIT_OWNER) == COMMIT_OWNER:
            remaining[0] -= 1
            if remaining[0] == -1:
                interrupt()

    fleet[name].before_action = before
