"""One gateway of the shared-state model: its real stages, and what is on its way to and from it.

It does what a gateway's adapter does, one event at a time. What it would pass to the kernel or to the ledger
waits in queues, so that each transfer is a step of its own: a commit is carried out, its reply is received,
the ledger is read, bytes go out, an outcome is received.
"""

from __future__ import annotations

import math
from itertools import chain
from random import Random
from typing import cast

from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
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
from meadowpulley.ledger import (
    Commit,
    CommitCompleted,
    LedgerChanged,
    RenewLease,
    Scan,
    ScanCompleted,
    Stage,
    TransactionOutcome,
)
from meadowpulley.ledger.lease_manager import LEASE_OWNER as KEEPER, LeaseManager
from meadowpulley.lending import LendingStage
from meadowpulley.model_checking.shared_state_model.configurations import (
    BUILD,
    LEASES,
    PATHS,
    PLAN,
    SAFE,
    TAKEOVER,
    TENANTS,
)
from meadowpulley.model_checking.shared_state_model.gateway_state import (
    RANDOM,
    RELEASED_BUILD,
    Environment,
    GatewayState,
    OutstandingAttempt,
    PendingRequest,
)
from meadowpulley.policy import RolloutPolicy
from meadowpulley.takeover import TakeoverStage
from meadowpulley.takeover.messages import (
    AdoptionResult,
    AdoptRequest,
    ClientDetached,
    ClientRequest,
    Deliver,
    Discard,
    ResponseReady,
)

INITIAL_RETRY_BUDGET = 3.0  # attempts


class SimulatedGateway(GatewayState):
    """One gateway: its real stages, one event at a time, and what is on its way to and from it."""

    def start(self, environment: Environment) -> None:
        """Start a new incarnation: registered in the ledger, with a warm policy, its lease renewed."""
        settings = self.configuration.settings(self.number)
        self.running = True
        self.incarnation = environment.store.register(f"g{self.number}", LEASES.term_ms)
        self.policy = RolloutPolicy(settings, 0)
        self.policy.rng = cast(Random, RANDOM)
        inner_stage: Stage = self.policy
        if self.configuration.lends:
            self.quota_stage = LendingStage(inner_stage, settings, PLAN, self.incarnation, self.number + 1)
            inner_stage = self.quota_stage
        self.lease_manager = LeaseManager(self.incarnation, LEASES, inner_stage)
        if self.configuration.takes_over:
            self.lease_manager.inner = TakeoverStage(
                settings, inner_stage, self.incarnation, self.lease_manager.holds_lease, TAKEOVER
            )
        entries = tuple(ServerEntry(n, 0, 0, ServerState.READY, BUILD, 1.0, 0, 1.0) for n in (1, 2))
        self.dispatch(environment, EndpointUpdate(EndpointUpdateKind.FULL, 1, entries))  # it never changes
        self.dispatch(environment, RELEASED_BUILD)
        self.policy.retry_budget = INITIAL_RETRY_BUDGET
        for action in self.lease_manager.start(environment.now):
            self._carry_out(environment, action)

    # Events in, actions out

    def dispatch(self, environment: Environment, event: object) -> None:
        """Give an event to the stages and carry their actions out."""
        self._events.append(event)
        if len(self._events) > 1:
            return
        while self._events:
            event = self._events[0]
            try:
                actions = self.lease_manager.handle(environment.now, event)
            except (
                Exception
            ) as error:  # any that leaves the stages is a find: it would end the gateway's work
                self._report_violation(environment, "fault", f"{type(error).__name__}: {error}")
                self._events.clear()
                return
            for action in actions:
                self._carry_out(environment, action)
            self._events.popleft()
        if self.quota_stage is not None and self.quota_stage.watched_prefixes() != self.watched_prefixes:
            self.watched_prefixes = self.quota_stage.watched_prefixes()
            self.ledger_version = 0  # the ledger is read anew

    def _report_violation(self, environment: Environment, property_name: str, text: str) -> None:
        environment.monitor.report(property_name, environment.now, self.number, text)

    def _carry_out(self, environment: Environment, action: object) -> None:
        if isinstance(action, Commit | Scan):
            self.ledger_outbox.append(action)
            if self.is_renewal(action):
                self.renewals_sent_at[action.ticket] = environment.now
        elif isinstance(action, Send):
            self._send_attempt(environment, action)
        elif isinstance(action, Reject | Fail):
            self._answer_client(
                environment, action.request, "refused" if isinstance(action, Reject) else "failed"
            )
        elif isinstance(action, Deliver):
            self._answer_client(environment, action.request, action.body.decode())
        elif isinstance(action, Discard):
            self._finish_request(action.request)
        elif isinstance(action, AdoptRequest):
            self._adopt(environment, action)
        elif isinstance(action, SetTimer):
            due = (environment.now + max(action.delay_ms, 0.0), action.token)
            if due not in self.timers:
                self.timers.append(due)
                self.timers.sort()
        elif isinstance(action, Cancel):
            self._cancel(environment, action)

    @staticmethod
    def is_renewal(command: Commit | Scan) -> bool:
        """Tell whether a command renews the lease and does nothing else."""
        if isinstance(command, Scan) or command.owner != KEEPER:
            return False
        writes = chain.from_iterable(transaction.writes for transaction in command.transactions)
        return all(isinstance(write, RenewLease) for write in writes)

    @property
    def hears_renewal(self) -> bool:
        """Whether what it hears next is of a renewal."""
        first = self.ledger_replies[0]
        return first.owner == KEEPER and first.ticket in self.renewals_sent_at

    # Requests

    def receive_request(
        self, environment: Environment, request_index: int, request_class: int, is_retry: bool
    ) -> None:
        """Receive a request from a client, perhaps once more."""
        self.last_request += 1
        request_id = f"r{request_index}"
        settings = self.configuration.settings(self.number)
        deadline_ms = environment.now + settings.classes[request_class].deadline_ms
        self.pending_requests[self.last_request] = PendingRequest(
            request_id, request_index, request_class, deadline_ms, True
        )
        self.pending_requests[self.last_request].requested_at = environment.now
        request = Request(
            self.last_request,
            request_class,
            request_index % len(TENANTS),
            request_index + 1,
            deadline_ms,
            client_retry=is_retry,
        )
        if self.knows_it_is_fenced and request_class == SAFE:
            environment.monitor.unjournaled.add(request_id)
        if self.configuration.takes_over:
            path = PATHS[request_class]
            self.dispatch(
                environment, ClientRequest(request, request_id, "POST", path, (), request_id.encode())
            )
        else:
            self.dispatch(environment, request)

    def _adopt(self, environment: Environment, action: AdoptRequest) -> None:
        self.last_request += 1
        request_index = int(action.request_id[1:])
        self.pending_requests[self.last_request] = PendingRequest(
            action.request_id, request_index, action.class_index, action.deadline_ms, False
        )
        environment.record_message("ledger", self.name, f"takes {action.request_id} over")
        self.dispatch(environment, AdoptionResult(action.request_id, self.last_request))

    def _send_attempt(self, environment: Environment, action: Send) -> None:
        pending = self.pending_requests.get(action.request)
        if pending is None or pending.answered:
            self._report_violation(environment, "answers", f"request {action.request} is over, and sent")
            return
        journaled = (
            self.configuration.takes_over and pending.request_id not in environment.monitor.unjournaled
        )
        if journaled and environment.now >= self.lease_ends_at:
            self._report_violation(
                environment, "lease", f"{pending.request_id} is sent, and the lease has run out"
            )
        if journaled and self.knows_it_is_fenced:
            self._report_violation(
                environment,
                "lease",
                f"{pending.request_id} is sent by an incarnation that knows it is fenced",
            )
        pending.outstanding_attempts[pending.attempt_count] = OutstandingAttempt(
            action.server, environment.now
        )
        self.unsent_attempts.append((action.request, pending.attempt_count))
        pending.attempt_count += 1
        environment.record_message(self.name, f"server {action.server}", f"{pending.request_id}, decided")

    def _cancel(self, environment: Environment, action: Cancel) -> None:
        pending = self.pending_requests.get(action.request)
        if pending is not None and action.attempt in pending.outstanding_attempts:
            self.finish_attempt(environment, action.request, action.attempt, Result.CANCELLED)

    def _answer_client(self, environment: Environment, request: int, text: str) -> None:
        pending = self.pending_requests.get(request)
        if pending is None or pending.answered:
            self._report_violation(
                environment, "answers", f"request {request} is answered {text}, and is over"
            )
            return
        environment.record_message(self.name, "clients", f"{pending.request_id}: {text}")
        if (
            pending.client_waiting
            and self.configuration.takes_over
            and not self._is_stopgap(environment, pending, text)
        ):
            environment.monitor.client_answered(
                environment.now, self.number, pending.request_id, pending.request_class, text
            )
        self._finish_request(request)

    def _is_stopgap(self, environment: Environment, pending: PendingRequest, text: str) -> bool:
        """Answers that a later one may contradict, as docs/design/takeover.md says: those passed while the
        ledger gave no word of them for `hold_ms`; and `failed` to an ask whose client stops waiting, or by
        an incarnation that is fenced: others end that work, and it can't learn how."""
        if text == "failed" and (environment.now >= pending.deadline_ms or self.knows_it_is_fenced):
            return True
        since = pending.requested_at if text == "failed" else pending.response_at
        return environment.now >= since + TAKEOVER.response_hold_ms and not environment.has_ended(
            pending.request_id
        )

    def _finish_request(self, request: int) -> None:
        pending = self.pending_requests.get(request)
        if pending is not None:
            pending.answered = True
            self._forget_if_done(request)

    def _forget_if_done(self, request: int) -> None:
        pending = self.pending_requests.get(request)
        if pending is not None and pending.answered and not pending.outstanding_attempts:
            del self.pending_requests[request]

    def client_disconnects(self, environment: Environment, request: int) -> None:
        """Note that the client of a request has left."""
        self.pending_requests[request].client_waiting = False
        self.dispatch(
            environment,
            ClientDetached(request) if self.configuration.takes_over else ClientDisconnected(request),
        )

    def finish_attempt(
        self, environment: Environment, request: int, attempt: int, result: Result, body: str = ""
    ) -> None:
        """The one outcome of an attempt; a good answer is shown to the stages first."""
        pending = self.pending_requests.get(request)
        if pending is None or attempt not in pending.outstanding_attempts:
            return
        if result is Result.OK and not pending.answered:
            pending.response_at = environment.now
            if self.configuration.takes_over:
                self.dispatch(environment, ResponseReady(request, 200, (), body.encode()))
            else:
                self._answer_client(environment, request, body)
        pending = self.pending_requests[request]
        attempt_out = pending.outstanding_attempts.pop(attempt)
        is_final = pending.answered or result is Result.OK
        self._forget_if_done(request)
        elapsed_ms = environment.now - attempt_out.sent_at
        self.dispatch(
            environment, Outcome(request, attempt, attempt_out.server, result, elapsed_ms, is_final)
        )

    # The ledger

    def receive_ledger_reply(self, environment: Environment, event: CommitCompleted | ScanCompleted) -> None:
        """Learn what became of a commit or a scan."""
        from_lease_manager = isinstance(event, CommitCompleted) and event.owner == KEEPER
        renewed_at = self.renewals_sent_at.pop(event.ticket, None) if from_lease_manager else None
        if (
            renewed_at is not None
            and isinstance(event, CommitCompleted)
            and event.results[0].outcome is TransactionOutcome.COMMITTED
        ):
            self.lease_ends_at = max(self.lease_ends_at, renewed_at + LEASES.term_ms * LEASES.hold_fraction)
        self.dispatch(environment, event)

    def read_ledger(self, environment: Environment) -> LedgerChanged:
        """What it reads of the ledger now."""
        changes = environment.store.changes(self.ledger_version, self.watched_prefixes or ("",))
        return LedgerChanged(changes, environment.now)

    def receive_ledger_view(self, environment: Environment, event: LedgerChanged) -> None:
        """Learn what has changed in the ledger."""
        self.ledger_version = max(self.ledger_version, event.changes.version)
        self.dispatch(environment, event)

    # Time

    def next_due(self) -> float:
        """Return when something happens by itself; infinity in a process that is stopped."""
        if not self.running or self.stopped:
            return math.inf
        due_times = [self.killed_at, *(at for at, _ in self.timers[:1])]
        slack_ms = self.configuration.settings(self.number).rules.response_slack_ms
        for pending in self.pending_requests.values():
            if pending.outstanding_attempts:
                due_times.append(pending.deadline_ms)
            if not pending.answered:
                due_times.append(pending.deadline_ms + slack_ms)
        return min(due_times, default=math.inf)

    def run_due(self, environment: Environment) -> None:
        """Do what is due: attempts end at their deadline, then timers, then overdue answers."""
        slack_ms = self.configuration.settings(self.number).rules.response_slack_ms
        for request, pending in list(self.pending_requests.items()):
            if pending.deadline_ms > environment.now:
                continue
            for attempt in list(pending.outstanding_attempts):
                self.finish_attempt(environment, request, attempt, Result.TIMEOUT)
        while self.timers and self.timers[0][0] <= environment.now:
            _, token = self.timers.pop(0)
            self.dispatch(environment, Timer(token))
        for request, pending in list(self.pending_requests.items()):
            overdue_at = pending.deadline_ms + slack_ms
            if not pending.answered and overdue_at <= environment.now:
                stalled = environment.now > overdue_at  # a process that was stopped responds as it resumes
                if not stalled and self.configuration.takes_over:
                    self._report_violation(
                        environment,
                        "answers",
                        f"{pending.request_id} got no answer by its deadline and slack",
                    )
                self._answer_client(environment, request, "failed")
                self.dispatch(environment, ClientDisconnected(request))

    # Ends

    def stop_process(self) -> None:
        """The process is gone; what it had handed to the ledger may yet be carried out."""
        incarnation = self.own_incarnation()
        delayed_commits = self.delayed_commits
        last_request = self.last_request
        if self.ledger_outbox:
            first_command = self.ledger_outbox[0]
            if isinstance(first_command, Commit):
                delayed_commits.append((incarnation, first_command))
        self.__dict__.update(SimulatedGateway(self.number, self.configuration).__dict__)
        self.incarnation = incarnation
        self.delayed_commits = delayed_commits
        self.last_request = last_request

    def release_lease(self, environment: Environment) -> None:
        """A planned stop, once nothing is in hand: the lease is given up."""
        self.lease_released = True
        if self.quota_stage is not None:
            for action in self.quota_stage.shut_down(environment.now):
                self._carry_out(environment, action)
        for command in self.lease_manager.release_lease():
            self._carry_out(environment, command)
