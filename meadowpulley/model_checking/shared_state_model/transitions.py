"""Applying a step of the shared-state model: clients, time, and what must hold when all is over."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from typing import ClassVar

from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.shared_state_model.configurations import (
    BURST_SIZE,
    CLASSES,
    LEASE_TERM_MS,
    PLAN,
)
from meadowpulley.model_checking.shared_state_model.descriptions import step_text
from meadowpulley.model_checking.shared_state_model.gateway import SimulatedGateway
from meadowpulley.model_checking.shared_state_model.gateway_state import RANDOM
from meadowpulley.model_checking.shared_state_model.step_handlers import StepHandlers

RUN_OUT_MS = max(c.deadline_ms for c in CLASSES) + 4 * LEASE_TERM_MS  # by when everything has met its end
REQUEST_STEPS = frozenset({"out", "run", "result"})  # the way of a request that lending let through
RATE_ROUNDING = 1e-9  # as a fraction of the capacity: rates are sums of fractions
LAPSE_MARGIN_MS = 1.0  # past the end of a lease
MAX_QUIET_LEASE_TERMS = 3  # for how many lease terms time goes on where nothing but renewals happens
MAX_SETTLE_STEPS = 20_000  # within one step: more is a circle


class SharedStateModel(StepHandlers):
    """The complete model: `HANDLERS` has the method of each step."""

    def _settle_initially(self) -> None:
        """Both have renewed their leases and know of each other; what is lent has been granted."""
        self._settle()
        until = self.now + (2 * LEASE_TERM_MS if self.configuration.lends else 0.0)
        while self.configuration.lends and self._advance_to_next(until):
            self._settle()

    def apply(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        """Make a step happen and check all properties; nothing is drawn in this model."""
        RANDOM.begin(())
        self.messages = []
        self.own_gateways = set()
        if self._costs_fault(step):
            self.faults -= 1
        self._perform(step)
        self._check_invariants()
        return (), ()

    def _perform(self, step: Step) -> None:
        self.HANDLERS[step.action](self, *step.arguments)

    def _check_invariants(self) -> None:
        """What must hold in every state, whoever has just stepped."""
        if self.configuration.lends:
            rates = [gateway.admission_rate(self.now) for gateway in self.gateways]
            if sum(rates) > PLAN.capacity_per_s * (1 + RATE_ROUNDING) and not self.violations:
                text = f"{' and '.join(f'{rate:.2f}' for rate in rates)} a second, of {PLAN.capacity_per_s:g}"
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

    # Clients

    def _send_first_request(self, gateway_index: int, request_index: int) -> None:
        self.requests_left = self.requests_left[1:]
        self._send_request(gateway_index, request_index, is_retry=False)

    def _retry_request(self, gateway_index: int, request_index: int) -> None:
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

    # Time

    def _advance_time(self, destination: str) -> None:
        """On until something but renewals happens; or past the leases of those that stand or are held. What
        is lent is asked for and granted all the time: there by a turn of it, or by the term of a grant."""
        self.time_advances -= 1
        until, routine_too = self._time_goal(destination)
        while self._advance_to_next(until):
            self._settle(routine=not routine_too)
            if next(self._progress_steps(), None) is not None:
                return

    def _time_goal(self, destination: str) -> tuple[float, bool]:
        """Return until when time goes on, and whether renewals count as something that happens."""
        if destination == "turn":
            return self.now + PLAN.round_ms, True
        if destination != "lapse":
            return self.now + MAX_QUIET_LEASE_TERMS * LEASE_TERM_MS, False
        if self.configuration.lends:
            return self.now + PLAN.term_ms, True
        lease_ends = [
            gateway.lease_ends_at
            for gateway in self.gateways
            if gateway.running and (gateway.stopped or gateway.blocked_channels)
        ]
        return max(min(lease_ends, default=self.now), self.now) + LAPSE_MARGIN_MS, False

    def _advance_to_next(self, until: float) -> bool:
        """Advance to the next moment at which something is due and poll all gateways; False if none."""
        due_at = min(gateway.next_due() for gateway in self.gateways)
        if due_at > until or due_at == math.inf:
            self.now = max(until, self.now) if until < math.inf else self.now
            return False
        self.now = max(due_at, self.now)
        for gateway_index, gateway in enumerate(self.gateways):
            if gateway.next_due() <= self.now:
                self._run_due_timers(gateway_index)
        for gateway_index, gateway in enumerate(self.gateways):
            if gateway.running and not gateway.stopped and "looks" not in gateway.blocked_channels:
                self._receive_ledger_view(gateway_index)
        return True

    def _settle(self, allowed_actions: frozenset[str] = frozenset(), routine: bool = False) -> None:
        """What is under way goes on to its end: all, moves of some kinds only, or renewals and looks."""
        for _ in range(MAX_SETTLE_STEPS):
            step = self._next_progress_step(allowed_actions, routine)
            if step is None:
                return
            self._perform(step)
            self._check_invariants()
        self.monitor.report("timers", self.now, -1, "what is under way never ends")

    def _next_progress_step(self, allowed_actions: frozenset[str], routine: bool) -> Step | None:
        for step in self._progress_steps():
            if allowed_actions and step.action not in allowed_actions:
                continue
            if not routine or self._is_routine(step):
                return step
        return None

    def _is_routine(self, step: Step) -> bool:
        if step.action == "look":
            return True
        gateway = self.gateways[int(step.arguments[0])]
        if step.action == "commit":
            return SimulatedGateway.is_renewal(gateway.ledger_outbox[0])
        return step.action == "hear" and gateway.hears_renewal

    # The end

    def _run_to_end(self) -> None:
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

    # From the encoded step name, which stored counterexamples keep, to the method that carries it out.
    HANDLERS: ClassVar[Mapping[str, Callable[..., None]]] = {
        **StepHandlers.HANDLERS,
        "ask": _send_first_request,
        "again": _retry_request,
        "wait": _advance_time,
        "end": _run_to_end,
    }

    # For people

    def describe(self, step: Step) -> str:
        """Return a step in words, before it is applied."""
        return step_text(self, step)
