"""A small fleet for takeover tests: stages with a scripted policy, one in-memory ledger and virtual time.

Every gateway has its own clock. The simulated instance responds after `execution_ms`, and executions are
counted per request.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from functools import partial
from itertools import chain
from typing import Any

from meadowpulley.interface import (
    AdoptionFailed,
    Cancel,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    LedgerRecordIgnored,
    Outcome,
    Reject,
    Request,
    Result,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
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
from tests.takeover_policy import CLASSES, NOT_EXECUTED_RESULTS, ORDER, PAY, READ, SETTINGS, ScriptedPolicy

__all__ = [
    "CLASSES",
    "LEASE_TERM_MS",
    "ORDER",
    "PAY",
    "READ",
    "SETTINGS",
    "STATUS_OK",
    "Fleet",
    "Gateway",
    "LedgerFault",
    "interrupt_at",
]

LEASE_TERM_MS = 1000.0
POLL_INTERVAL_MS = 20.0
COMMIT_MS = 1.0  # delay from a gateway to the store, and again from the store back
SLOW_COMMIT_MS = 400.0  # delay to the store while the ledger is slow
SETTLING_MS = 300.0  # time for the gateways of a new fleet to discover each other
CLOCK_OFFSET_MS = 1e5  # difference between the clocks of consecutive gateways
STATUS_OK = 200
SERVER = ServerEntry(1, cell=0, zone=0, state=ServerState.READY, build=7, started_ms=0, kind=0, weight=1.0)


class LedgerFault(Enum):
    """A fault of the ledger as one gateway experiences it."""

    NONE = "none"
    UNREACHABLE = "unreachable"  # nothing is committed, and the gateway gets an unknown outcome
    UNCONFIRMED = "unconfirmed"  # commits are carried out, but takeover gets an unknown outcome
    SLOW = "slow"  # commits are delayed by `SLOW_COMMIT_MS`


class Gateway:
    """One gateway: a lease manager and a takeover stage in front of a `ScriptedPolicy`."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.clock_offset_ms = CLOCK_OFFSET_MS * (len(fleet.gateways) + 1)
        self.incarnation = fleet.store.register(name, LEASE_TERM_MS)
        self.decisions = ScriptedPolicy()
        self.lease_manager = LeaseManager(self.incarnation, Lease(term_ms=LEASE_TERM_MS), self.decisions)
        self.stage = TakeoverStage(
            SETTINGS, self.decisions, self.incarnation, self.lease_manager.holds_lease, fleet.settings
        )
        self.lease_manager.inner = self.stage
        self.running = True
        self.paused = False
        self.seen_version = 0
        self.last_request = 0
        self.deferred_calls: list[Callable[[], None]] = []
        self.watched_incarnations: tuple[str, ...] | None = ()
        self.requests_by_handle: dict[int, tuple[str, int, float]] = {}  # request id, class, deadline
        self.attempt_counts: Counter[int] = Counter()
        self.responses: dict[str, list[str]] = {}  # to clients of this gateway, by request id
        self.log_lines: list[str] = []
        self.adopted: set[int] = set()
        self.finished: set[int] = set()
        self.ledger_fault = LedgerFault.NONE
        self.before_action: Callable[[Any], None] = lambda _action: None
        self.carry_out_all(self.lease_manager.start(self.now))
        self.dispatch(EndpointUpdate(EndpointUpdateKind.FULL, 1, (SERVER,)))
        self.poll()

    @property
    def now(self) -> float:
        return self.fleet.now + self.clock_offset_ms

    def dispatch(self, event: object) -> None:
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
        deferred = self.deferred_calls
        self.paused = False
        self.deferred_calls = []
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
            case Commit():  # once a fault ends, a later commit may overtake a slow one
                delay_ms = SLOW_COMMIT_MS if self.ledger_fault is LedgerFault.SLOW else COMMIT_MS
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
        assert action.request not in self.finished, "each request is answered once"
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
        self.call_later(COMMIT_MS, lambda: self.dispatch(completed))

    def submit(
        self,
        request_id: str,
        class_index: int,
        body: bytes = b"b",
        remaining_ms: float = 4000.0,
        repeat: bool = False,
    ) -> int:
        """Submit a client request; return its handle."""
        self.last_request += 1
        request = Request(self.last_request, class_index, 0, 5, self.now + remaining_ms, client_retry=repeat)
        self.requests_by_handle[self.last_request] = (request_id, class_index, self.now + remaining_ms)
        self.dispatch(ClientRequest(request, request_id, "POST", f"/{CLASSES[class_index].name}", (), body))
        return self.last_request


class Fleet:
    """Gateways that share one ledger; `settings` override the default takeover settings."""

    def __init__(self, names: str = "abc", **settings: Any) -> None:
        self.now = 0.0
        self.last_call_number = 0
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.store = MemoryStore()
        self.settings = replace(TakeoverSettings(journal_scope=JournalScope.ALL), **settings)
        self.executions: Counter[str] = Counter()  # number of executions by request id
        self.sent_at_ms: dict[str, list[float]] = {}  # send times of attempts, by request id
        self.cancelled: list[tuple[str, int]] = []
        self.transaction_counts: Counter[str] = Counter()
        # Called for each committed transaction.
        self.on_commit: Callable[[Gateway, Transaction], None] = lambda _gateway, _transaction: None
        self.lost_replacements = 0  # replacements that conflicted with a newer record
        self.adopted: list[tuple[str, str]] = []
        self.execution_ms = 30.0
        self.results = [Result.OK]  # results of successive attempts; the last one is repeated
        self.gateways: dict[str, Gateway] = {}
        for name in names:
            self.gateways[name] = Gateway(self, name)
        self.advance(SETTLING_MS)

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
        """Commit the transactions of a gateway; count them by owner, and count conflicting replacements."""
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
        """Execute an attempt at the instance; the gateway gets the outcome if it is still running."""
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        self.executions[request_id] += result not in NOT_EXECUTED_RESULTS
        body = f"run {self.executions[request_id]}".encode()

        def finish() -> None:
            served = result is Result.OK
            if served:
                gateway.dispatch(ResponseReady(request, STATUS_OK, (), body))
            gateway.dispatch(Outcome(request, attempt, 1, result, self.execution_ms, request_complete=served))

        gateway.call_later(self.execution_ms, finish)

    def responses(self, request_id: str) -> list[str]:
        """Return the responses to all requests with this id, from all gateways."""
        found: list[str] = []
        for gateway in self.gateways.values():
            found += gateway.responses.get(request_id, [])
        return found

    def adopted_requests(self) -> list[Request]:
        """Return the adopted requests that the policies have received, in the order of the gateways."""
        received = chain.from_iterable(gateway.decisions.received for gateway in self.gateways.values())
        return [request for request in received if request.adopted]

    def record_keys(self, prefix: str = "takeover/") -> list[str]:
        return [record.key for record in self.store.scan(prefix)]


def interrupt_at(
    fleet: Fleet, action_type: type, skip: int, interrupt: Callable[[], None], name: str = "a"
) -> None:
    """Call `interrupt` immediately before an action of this type, after skipping `skip` such actions.

    Only commits that takeover owns are counted.
    """
    remaining = [skip]

    def before(action: Any) -> None:
        if isinstance(action, action_type) and getattr(action, "owner", COMMIT_OWNER) == COMMIT_OWNER:
            remaining[0] -= 1
            if remaining[0] == -1:
                interrupt()

    fleet[name].before_action = before
