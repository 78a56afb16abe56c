"""Applying a step of the shared-state model, and what must hold when all is over."""

from __future__ import annotations

import math
from collections.abc import Sequence

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
from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.shared_state_model.configurations import (
    BURST_SIZE,
    CLASSES,
    LEASE_TERM_MS,
    PLAN,
)
from meadowpulley.model_checking.shared_state_model.descriptions import step_text
from meadowpulley.model_checking.shared_state_model.enabled_steps import EnabledSteps
from meadowpulley.model_checking.shared_state_model.gateway import SimulatedGateway
from meadowpulley.model_checking.shared_state_model.gateway_state import RANDOM
from meadowpulley.model_checking.shared_state_model.state import Attempt
from meadowpulley.takeover.messages import ShutdownNotice

STOP_GRACE_MS = 500.0  # between SIGTERM and SIGKILL
RUN_OUT_MS = max(c.deadline_ms for c in CLASSES) + 4 * LEASE_TERM_MS  # by when everything has met its end
REQUEST_STEPS = frozenset({"out", "run", "result"})  # the way of a request that lending let through
MAX_SETTLE_STEPS = 20_000  # within one step: more is a circle


class SharedStateModel(EnabledSteps):
    """The complete model: each step is a method named for it."""

    def _settle_initially(self) -> None:
        """Both have renewed their leases and know of each other; what is lent has been granted."""
        self._settle()
        until = self.now + (2 * LEASE_TERM_MS if self.configuration.lends else 0.0)
        while self.configuration.lends and self._advance_to_next(until):
            self._settle()

    def apply(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        """Make a step happen and check all properties; nothing is drawn in this model."""
        RANDOM.begin(())
        self.messages, self.own_gateways = [], set()
        if self._costs_fault(step):
            self.faults -= 1
        getattr(self, f"_do_{step.action}")(*step.arguments)
        self._check_invariants()
        return (), ()

    def _check_invariants(self) -> None:
        """What must hold in every state, whoever has just stepped."""
        if self.configuration.lends:
            rates = [node.admission_rate(self.now) for node in self.gateways]
            if sum(rates) > PLAN.capacity_per_s * (1 + 1e-9) and not self.violations:
                text = f"{' and '.join(f'{r:.2f}' for r in rates)} a second, of {PLAN.capacity_per_s:g}"
                self.monitor.report("lent", self.now, -1, text)

    def _costs_fault(self, step: Step) -> bool:
        """What is free: the first of the moves; else clients, time, and what is let go."""
        first = next(self._progress_steps(), None)
        if step.action in ("wake", "let", "straggle", "let_run", "wait", "end"):
            return False
        if step.action in ("ask", "again"):
            return first is not None or (
                step.action == "again" and step not in self._retry_steps(after_loss=True)
            )
        return step != first

    def _stepping_gateway(self, gateway_index: int) -> SimulatedGateway:
        """Return a gateway that steps now; other copies of the model keep theirs."""
        if gateway_index not in self.own_gateways:
            self.gateways[gateway_index] = self.gateways[gateway_index].copy()
            self.own_gateways.add(gateway_index)
        return self.gateways[gateway_index]

    # What goes on by itself

    def _do_out(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        request, attempt = gateway.unsent_attempts.popleft()
        pending = gateway.pending_requests.get(request)
        if pending is None or attempt not in pending.outstanding_attempts:
            return  # given up before its bytes went out
        assert gateway.incarnation is not None
        server = pending.outstanding_attempts[attempt].server
        arrived = Attempt(
            gateway_index,
            gateway.incarnation,
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

    def _do_hear(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        gateway.receive_ledger_reply(self, gateway.ledger_replies.popleft())

    def _do_due(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        if gateway.killed_at <= self.now:
            gateway.stop_process()
        else:
            gateway.run_due(self)

    def _carry_out(
        self, gateway: SimulatedGateway, commit: Commit, author: Incarnation | None = None
    ) -> tuple[TransactionResult, ...]:
        incarnation = author or gateway.incarnation
        assert incarnation is not None
        results = tuple(self.monitor.commit(self.now, gateway.number, self.store, incarnation, commit))
        self.record_message(
            gateway.name, "ledger", f"{commit.owner}: {', '.join(d.outcome.value for d in results)}"
        )
        for step, result in zip(commit.transactions, results, strict=True):
            for write in step.writes if result.outcome is TransactionOutcome.COMMITTED else ():
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

    def _do_commit(self, gateway_index: int) -> None:
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

    def _do_result(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        gateway.finish_attempt(self, *gateway.unheard_outcomes.popleft())

    def _do_bye(self, gateway_index: int) -> None:
        self._stepping_gateway(gateway_index).release_lease(self)

    def _do_look(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        event, gateway.pending_view = gateway.pending_view or gateway.read_ledger(self), None
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

    def _do_run(self, index: int) -> None:
        attempt = self._take_attempt(index)
        self.monitor.attempt_executed(self.now, attempt.request_id, attempt.request_class)
        body = f"{attempt.request_id} as run {self.monitor.executions[attempt.request_id]}"
        self._return_result(attempt, Result.OK, body)

    # Clients

    def _do_ask(self, gateway_index: int, request_index: int) -> None:
        self.requests_left = self.requests_left[1:]
        self._send_request(gateway_index, request_index, is_retry=False)

    def _do_again(self, gateway_index: int, request_index: int) -> None:
        self._send_request(gateway_index, request_index, is_retry=True)

    def _send_request(self, gateway_index: int, request_index: int, is_retry: bool) -> None:
        self.client_sends = (*self.client_sends, (request_index, gateway_index))
        self.monitor.rejected.discard(f"r{request_index}")  # refused before, and asked anew
        self.record_message(
            "clients",
            f"gateway {gateway_index}",
            f"r{request_index}, again" if is_retry else f"r{request_index}",
        )
        for _ in range(BURST_SIZE if self.configuration.lends else 1):
            self._stepping_gateway(gateway_index).receive_request(
                self,
                request_index,
                self.configuration.kinds[request_index % len(self.configuration.kinds)],
                is_retry,
            )
        if self.configuration.lends:
            self._settle(REQUEST_STEPS)

    def _do_leave(self, gateway_index: int, request: int) -> None:
        self._stepping_gateway(gateway_index).client_disconnects(self, request)

    # Failures

    def _do_kill(self, gateway_index: int) -> None:
        self._stepping_gateway(gateway_index).stop_process()

    def _do_stop(self, gateway_index: int) -> None:
        self._stepping_gateway(gateway_index).stopped = True

    def _do_wake(self, gateway_index: int) -> None:
        self._stepping_gateway(gateway_index).stopped = False

    def _do_term(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        gateway.killed_at = self.now + STOP_GRACE_MS
        gateway.dispatch(self, ShutdownNotice(STOP_GRACE_MS))

    def _do_start(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        assert gateway.incarnation is not None
        self.store.dead_incarnations.add(gateway.incarnation)
        delayed_commits, last_request = gateway.delayed_commits, gateway.last_request
        gateway = self.gateways[gateway_index] = SimulatedGateway(gateway_index, self.configuration)
        gateway.delayed_commits, gateway.last_request = delayed_commits, last_request
        gateway.start(self)

    def _do_hold(self, gateway_index: int, channel: str) -> None:
        self._stepping_gateway(gateway_index).blocked_channels.add(channel)

    def _do_let(self, gateway_index: int, channel: str) -> None:
        self._stepping_gateway(gateway_index).blocked_channels.discard(channel)

    def _do_lose(self, gateway_index: int, moment: str) -> None:
        gateway = self._stepping_gateway(gateway_index)
        commit = gateway.ledger_outbox.popleft()
        if isinstance(commit, Scan):
            gateway.ledger_replies.append(ScanCompleted(commit.ticket, None, commit.owner))
            return
        if moment == "after":
            self._carry_out(gateway, commit)
        elif moment == "late":
            assert gateway.incarnation is not None
            gateway.delayed_commits.append((gateway.incarnation, commit))
        unknown = (TransactionResult(TransactionOutcome.UNKNOWN),) * len(commit.transactions)
        gateway.ledger_replies.append(CommitCompleted(commit.ticket, unknown, commit.owner))

    def _do_straggle(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        author, commit = gateway.delayed_commits.popleft()
        self._carry_out(gateway, commit, author)

    def _do_read(self, gateway_index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        gateway.pending_view = gateway.read_ledger(self)

    def _do_reset(self, index: int) -> None:
        attempt = self._take_attempt(index)
        self.monitor.attempt_executed(self.now, attempt.request_id, attempt.request_class)
        self._return_result(attempt, Result.RESET)

    def _do_full(self, index: int) -> None:
        attempt = self._take_attempt(index)
        self.monitor.attempt_abandoned(attempt.request_id)
        self._return_result(attempt, Result.REJECTED)

    def _set_delayed(self, index: int, is_delayed: bool) -> None:
        updated = self.arrived_attempts[index]._replace(is_delayed=is_delayed)
        self.arrived_attempts = (*self.arrived_attempts[:index], updated, *self.arrived_attempts[index + 1 :])

    def _do_late(self, index: int) -> None:
        self._set_delayed(index, True)

    def _do_let_run(self, index: int) -> None:
        self._set_delayed(index, False)

    # Time

    def _do_wait(self, destination: str) -> None:
        """On until something but renewals happens; or past the leases of those that stand or are held. What
        is lent is asked for and granted all the time: there by a turn of it, or by the term of a grant."""
        self.time_advances -= 1
        until, routine_too = self.now + 3 * LEASE_TERM_MS, False
        if destination == "turn" or (self.configuration.lends and destination == "lapse"):
            until, routine_too = self.now + (PLAN.round_ms if destination == "turn" else PLAN.term_ms), True
        elif destination == "lapse":
            lease_ends = [
                n.lease_ends_at for n in self.gateways if n.running and (n.stopped or n.blocked_channels)
            ]
            until = max(min(lease_ends, default=self.now), self.now) + 1.0
        while self._advance_to_next(until):
            self._settle(routine=not routine_too)
            if next(self._progress_steps(), None) is not None:
                return

    def _advance_to_next(self, until: float) -> bool:
        """Advance to the next moment at which something is due and poll all gateways; False if none."""
        due_at = min(node.next_due() for node in self.gateways)
        if due_at > until or due_at == math.inf:
            self.now = max(until, self.now) if until < math.inf else self.now
            return False
        self.now = max(due_at, self.now)
        for gateway_index, gateway in enumerate(self.gateways):
            if gateway.next_due() <= self.now:
                self._do_due(gateway_index)
        for gateway_index, gateway in enumerate(self.gateways):
            if gateway.running and not gateway.stopped and "looks" not in gateway.blocked_channels:
                self._do_look(gateway_index)
        return True

    def _settle(self, allowed_actions: frozenset[str] = frozenset(), routine: bool = False) -> None:
        """What is under way goes on to its end: all, moves of some kinds only, or renewals and looks."""
        for _ in range(MAX_SETTLE_STEPS):
            candidates = (
                s for s in self._progress_steps() if (not allowed_actions or s.action in allowed_actions)
            )
            step = next((s for s in candidates if not routine or self._is_routine(s)), None)
            if step is None:
                return
            getattr(self, f"_do_{step.action}")(*step.arguments)
            self._check_invariants()
        self.monitor.report("timers", self.now, -1, "what is under way never ends")

    def _is_routine(self, step: Step) -> bool:
        if step.action == "look":
            return True
        gateway = self.gateways[int(step.arguments[0])]
        if step.action == "commit":
            return SimulatedGateway.is_renewal(gateway.ledger_outbox[0])
        return step.action == "hear" and gateway.hears_renewal

    # The end

    def _do_end(self) -> None:
        """Run everything to its end, then check the final state."""
        until = self.now + RUN_OUT_MS
        self._settle()
        while not self.monitor.violations and self._advance_to_next(until):
            self._settle()
        self.finished = True
        self._check_final_state()

    def _check_final_state(self) -> None:
        running_gateways = [n for n in self.gateways if n.running]
        for request_id in self.open_work() if running_gateways else ():
            self.monitor.report(
                "work-ends", self.now, -1, f"{request_id} is written, one gateway lives, and no end"
            )
        for gateway in running_gateways:
            unanswered = [s.request_id for s in gateway.pending_requests.values() if not s.answered]
            if unanswered:
                self.monitor.report("answers", self.now, gateway.number, f"{unanswered} were never answered")

    # For people

    def describe(self, step: Step) -> str:
        """Return a step in words, before it is applied."""
        return step_text(self, step)
