"""The steps of gateways, ledger and servers in the shared-state model, and their failures."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import ClassVar

from meadowpulley.interface import Result
from meadowpulley.ledger import (
    Commit,
    CommitCompleted,
    Fence,
    Incarnation,
    Scan,
    ScanCompleted,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.model_checking.shared_state_model.enabled_steps import EnabledSteps
from meadowpulley.model_checking.shared_state_model.gateway import SimulatedGateway
from meadowpulley.model_checking.shared_state_model.state import Attempt
from meadowpulley.takeover.messages import ShutdownNotice

STOP_GRACE_MS = 500.0  # between SIGTERM and SIGKILL


class StepHandlers(EnabledSteps):
    """What each step does, except those of clients that send and of time."""

    def _stepping_gateway(self, gateway_index: int) -> SimulatedGateway:
        """Return a gateway that steps now; other copies of the model keep theirs."""
        if gateway_index not in self.own_gateways:
            self.gateways[gateway_index] = self.gateways[gateway_index].copy()
            self.own_gateways.add(gateway_index)
        return self.gateways[gateway_index]

    # What goes on by itself

    def _deliver_attempt(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        request, attempt = gateway.unsent_attempts.popleft()
        pending = gateway.pending_requests.get(request)
        if pending is None or attempt not in pending.outstanding_attempts:
            return  # given up before its bytes went out
        server = pending.outstanding_attempts[attempt].server
        arrived = Attempt(
            gateway_index,
            gateway.own_incarnation(),
            request,
            attempt,
            pending.request_id,
            pending.request_class,
            server,
            False,
        )
        self.arrived_attempts = (*self.arrived_attempts, arrived)
        self.monitor.attempt_sent(pending.request_id)
        self.record_message(gateway.name, f"server {server}", pending.request_id)

    def _receive_ledger_reply(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        gateway.receive_ledger_reply(self, gateway.ledger_replies.popleft())

    def _run_due_timers(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        if gateway.killed_at <= self.now:
            gateway.stop_process()
        else:
            gateway.run_due(self)

    def _carry_out(
        self, gateway: SimulatedGateway, commit: Commit, author: Incarnation | None = None
    ) -> tuple[TransactionResult, ...]:
        incarnation = author or gateway.own_incarnation()
        results = tuple(self.monitor.commit(self.now, gateway.number, self.store, incarnation, commit))
        self.record_message(
            gateway.name, "ledger", f"{commit.owner}: {', '.join(result.outcome.value for result in results)}"
        )
        for transaction, result in zip(commit.transactions, results, strict=True):
            if result.outcome is not TransactionOutcome.COMMITTED:
                continue
            for write in transaction.writes:
                if isinstance(write, Fence):
                    self._check_fenced(write.incarnation)
        return results

    def _check_fenced(self, incarnation: Incarnation) -> None:
        """Who is sealed had stopped acting before: false suspicion costs work, never a rule."""
        for gateway in self.gateways:
            if gateway.running and gateway.incarnation == incarnation and self.now < gateway.lease_ends_at:
                left_ms = gateway.lease_ends_at - self.now
                text = f"{incarnation} is fenced, and its own lease holds for {left_ms:.0f} ms"
                self.monitor.report("lease", self.now, gateway.number, text)

    def _commit_to_ledger(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        commit = gateway.ledger_outbox.popleft()
        if isinstance(commit, Scan):
            gateway.ledger_replies.append(
                ScanCompleted(commit.ticket, tuple(self.store.scan(commit.prefix)), commit.owner)
            )
            return
        results = self._carry_out(gateway, commit)
        if gateway.lease_released and not gateway.ledger_outbox:
            gateway.stop_process()
        else:
            gateway.ledger_replies.append(CommitCompleted(commit.ticket, results, commit.owner))

    def _receive_outcome(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        gateway.finish_attempt(self, *gateway.unheard_outcomes.popleft())

    def _release_lease(self, gateway_index: int) -> None:
        self._stepping_gateway(gateway_index).release_lease(self)

    def _receive_ledger_view(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        event = gateway.pending_view or gateway.read_ledger(self)
        gateway.pending_view = None
        gateway.receive_ledger_view(self, event)

    def _take_attempt(self, index: int) -> Attempt:
        attempt = self.arrived_attempts[index]
        self.arrived_attempts = (*self.arrived_attempts[:index], *self.arrived_attempts[index + 1 :])
        return attempt

    def _return_result(self, attempt: Attempt, result: Result, body: str = "") -> None:
        gateway = self.gateways[attempt.gateway]
        if gateway.running and gateway.incarnation == attempt.incarnation:
            gateway = self._stepping_gateway(attempt.gateway)
            gateway.unheard_outcomes.append((attempt.request, attempt.attempt, result, body))
        self.record_message(
            f"server {attempt.server}", gateway.name, f"{attempt.request_id}: {result.name.lower()}"
        )

    def _execute_attempt(self, index: int) -> None:
        attempt = self._take_attempt(index)
        self.monitor.attempt_executed(self.now, attempt.request_id, attempt.request_class)
        body = f"{attempt.request_id} as run {self.monitor.executions[attempt.request_id]}"
        self._return_result(attempt, Result.OK, body)

    # Failures

    def _disconnect_client(self, gateway_index: int, request: int) -> None:
        self._stepping_gateway(gateway_index).client_disconnects(self, request)

    def _kill_gateway(self, gateway_index: int) -> None:
        self._stepping_gateway(gateway_index).stop_process()

    def _pause_gateway(self, gateway_index: int) -> None:
        self._stepping_gateway(gateway_index).stopped = True

    def _resume_gateway(self, gateway_index: int) -> None:
        self._stepping_gateway(gateway_index).stopped = False

    def _start_graceful_shutdown(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        gateway.killed_at = self.now + STOP_GRACE_MS
        gateway.dispatch(self, ShutdownNotice(STOP_GRACE_MS))

    def _restart_gateway(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        self.store.dead_incarnations.add(gateway.own_incarnation())
        successor = SimulatedGateway(gateway_index, self.configuration)
        successor.delayed_commits = gateway.delayed_commits
        successor.last_request = gateway.last_request
        self.gateways[gateway_index] = successor
        successor.start(self)

    def _block_channel(self, gateway_index: int, channel: str) -> None:
        self._stepping_gateway(gateway_index).blocked_channels.add(channel)

    def _unblock_channel(self, gateway_index: int, channel: str) -> None:
        self._stepping_gateway(gateway_index).blocked_channels.discard(channel)

    def _lose_commit_reply(self, gateway_index: int, moment: str) -> None:
        gateway = self._stepping_gateway(gateway_index)
        commit = gateway.ledger_outbox.popleft()
        if isinstance(commit, Scan):
            gateway.ledger_replies.append(ScanCompleted(commit.ticket, None, commit.owner))
            return
        if moment == "after":
            self._carry_out(gateway, commit)
        elif moment == "late":
            gateway.delayed_commits.append((gateway.own_incarnation(), commit))
        unknown = (TransactionResult(TransactionOutcome.UNKNOWN),) * len(commit.transactions)
        gateway.ledger_replies.append(CommitCompleted(commit.ticket, unknown, commit.owner))

    def _carry_out_delayed_commit(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        author, commit = gateway.delayed_commits.popleft()
        self._carry_out(gateway, commit, author)

    def _read_stale_view(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        gateway.pending_view = gateway.read_ledger(self)

    def _reset_attempt(self, index: int) -> None:
        attempt = self._take_attempt(index)
        self.monitor.attempt_executed(self.now, attempt.request_id, attempt.request_class)
        self._return_result(attempt, Result.RESET)

    def _reject_attempt(self, index: int) -> None:
        attempt = self._take_attempt(index)
        self.monitor.attempt_abandoned(attempt.request_id)
        self._return_result(attempt, Result.REJECTED)

    def _set_delayed(self, index: int, is_delayed: bool) -> None:
        updated = self.arrived_attempts[index]._replace(is_delayed=is_delayed)
        self.arrived_attempts = (*self.arrived_attempts[:index], updated, *self.arrived_attempts[index + 1 :])

    def _delay_attempt(self, index: int) -> None:
        self._set_delayed(index, True)

    def _run_delayed_attempt(self, index: int) -> None:
        self._set_delayed(index, False)

    # From the encoded step name, which stored counterexamples keep, to the method that carries it out.
    HANDLERS: ClassVar[Mapping[str, Callable[..., None]]] = {
        "out": _deliver_attempt,
        "hear": _receive_ledger_reply,
        "due": _run_due_timers,
        "commit": _commit_to_ledger,
        "result": _receive_outcome,
        "bye": _release_lease,
        "look": _receive_ledger_view,
        "run": _execute_attempt,
        "leave": _disconnect_client,
        "kill": _kill_gateway,
        "stop": _pause_gateway,
        "wake": _resume_gateway,
        "term": _start_graceful_shutdown,
        "start": _restart_gateway,
        "hold": _block_channel,
        "let": _unblock_channel,
        "lose": _lose_commit_reply,
        "straggle": _carry_out_delayed_commit,
        "read": _read_stale_view,
        "reset": _reset_attempt,
        "full": _reject_attempt,
        "late": _delay_attempt,
        "let_run": _run_delayed_attempt,
    }
