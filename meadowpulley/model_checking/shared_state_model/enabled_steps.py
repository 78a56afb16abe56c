"""What may happen next in the shared-state model.

In each state the steps under way stand in an order, and the first of them is free: so everything goes on by
itself, as in a process that nothing disturbs. Any other step, and whatever is somebody's failure, costs one
of the path's faults (bounding the delays of a schedule: Emmi, Qadeer, Rakamaric, POPL 2011). Clients, time, a
resumption and whatever was held back and is let go cost nothing, at any point.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.shared_state_model.gateway import SimulatedGateway
from meadowpulley.model_checking.shared_state_model.gateway_state import CHANNELS
from meadowpulley.model_checking.shared_state_model.state import State


class EnabledSteps(State):
    """The steps that are possible in a state."""

    def enabled_steps(self) -> list[Step]:
        """Return the steps that may happen next, in a fixed order."""
        if self.finished:
            return []
        progress = list(self._progress_steps())
        steps = progress if self.faults else progress[:1]
        steps += self._release_steps()
        if not progress:
            steps += self._idle_steps()
        if self.faults:
            steps += self._fault_steps(bool(progress))
        return steps

    def _progress_steps(self) -> Iterator[Step]:
        """What goes on by itself, in the order in which it does."""
        for gateway in self.gateways:
            if gateway.running and not gateway.stopped:
                yield from self._gateway_steps(gateway)
        for index, attempt in enumerate(self.arrived_attempts):
            if not attempt.is_delayed:
                yield Step("run", (index,))
        for gateway in self.gateways:
            if (
                gateway.running
                and not gateway.stopped
                and "looks" not in gateway.blocked_channels
                and self._has_ledger_changes(gateway)
            ):
                yield Step("look", (gateway.number,))

    def _has_ledger_changes(self, gateway: SimulatedGateway) -> bool:
        return gateway.pending_view is not None or self.store.version > gateway.ledger_version

    def _gateway_steps(self, gateway: SimulatedGateway) -> Iterator[Step]:
        gateway_index = gateway.number
        if gateway.unsent_attempts:
            yield Step("out", (gateway_index,))
        if gateway.ledger_replies:
            yield Step("hear", (gateway_index,))
        if gateway.next_due() <= self.now:
            yield Step("due", (gateway_index,))
        if gateway.ledger_outbox and "commits" not in gateway.blocked_channels:
            yield Step("commit", (gateway_index,))
        if gateway.unheard_outcomes:
            yield Step("result", (gateway_index,))
        if gateway.killed_at < math.inf and gateway.idle and not gateway.lease_released:
            yield Step("bye", (gateway_index,))

    def _release_steps(self) -> Iterator[Step]:
        for gateway in self.gateways:
            if gateway.stopped:
                yield Step("wake", (gateway.number,))
            yield from (
                Step("let", (gateway.number, channel)) for channel in sorted(gateway.blocked_channels)
            )
            if gateway.delayed_commits:
                yield Step("straggle", (gateway.number,))
        for index, attempt in enumerate(self.arrived_attempts):
            if attempt.is_delayed:
                yield Step("let_run", (index,))

    def _request_steps(self) -> Iterator[Step]:
        for gateway in self.gateways:
            if (
                self.requests_left
                and gateway.running
                and not gateway.stopped
                and gateway.killed_at == math.inf
            ):
                yield Step("ask", (gateway.number, self.requests_left[0]))

    def _idle_steps(self) -> Iterator[Step]:
        """Nothing is under way: clients, or time."""
        yield from self._request_steps()
        yield from self._retry_steps(after_loss=True)
        pending = self.open_work() or any(
            n.stopped or n.blocked_channels or n.delayed_commits or not n.idle for n in self.gateways
        )
        if self.time_advances and (pending or self.arrived_attempts or self.configuration.lends):
            if not self.configuration.time_by_rounds:
                yield Step("wait", ("next",))
            if any(n.stopped or n.blocked_channels for n in self.gateways):
                yield Step("wait", ("lapse",))
            if self.configuration.lends:
                yield Step("wait", ("turn",))
        if not any(n.stopped or n.blocked_channels for n in self.gateways) and not self.requests_left:
            yield Step("end")

    def _retry_steps(self, after_loss: bool) -> Iterator[Step]:
        """Clients that retry with the same id: those whose gateway was lost, and any others."""
        for index in sorted({n for n, _ in self.client_sends}):
            attempted_gateways = [gateway for request, gateway in self.client_sends if request == index]
            gateway_lost = not self.gateways[
                attempted_gateways[-1]
            ].running  # perhaps the answer was on its way
            if len(attempted_gateways) >= self.configuration.max_sends or after_loss != gateway_lost:
                continue
            for gateway in self.gateways:
                if gateway.running and not gateway.stopped and gateway.killed_at == math.inf:
                    yield Step("again", (gateway.number, index))

    def _fault_steps(self, in_progress: bool) -> Iterator[Step]:
        allowed = self.configuration.faults
        if in_progress:
            yield from self._request_steps()
        if "again" in allowed:
            yield from self._retry_steps(after_loss=False)
        for gateway in self.gateways:
            if gateway.running:
                yield from self._process_fault_steps(gateway)
            elif "start" in allowed and gateway.incarnation is not None:
                yield Step("start", (gateway.number,))
        for index, attempt in enumerate(self.arrived_attempts):
            if not attempt.is_delayed:
                yield from (Step(do, (index,)) for do in ("reset", "full", "late") if do in allowed)

    def _process_fault_steps(self, gateway: SimulatedGateway) -> Iterator[Step]:
        gateway_index = gateway.number
        allowed = self.configuration.faults
        if "kill" in allowed:
            yield Step("kill", (gateway_index,))
        if gateway.stopped:
            return
        if "stop" in allowed:
            yield Step("stop", (gateway_index,))
        if "term" in allowed and gateway.killed_at == math.inf:
            yield Step("term", (gateway_index,))
        if "hold" in allowed:
            yield from (
                Step("hold", (gateway_index, channel))
                for channel in CHANNELS
                if channel not in gateway.blocked_channels
            )
        if "lose" in allowed and gateway.ledger_outbox and "commits" not in gateway.blocked_channels:
            yield from (Step("lose", (gateway_index, how)) for how in ("before", "after", "late"))
        if (
            "stale" in allowed
            and self.store.version > gateway.ledger_version
            and gateway.pending_view is None
        ):
            yield Step("read", (gateway_index,))
        if "leave" in allowed:
            for request, pending in gateway.pending_requests.items():
                if pending.client_waiting and not pending.answered:
                    yield Step("leave", (gateway_index, request))
