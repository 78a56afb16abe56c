"""Failpoints: named steps of a gateway's work at which it can be killed or paused."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal

if TYPE_CHECKING:
    from meadowpulley.emulator.gateway import SimulatedGateway

StepName = Literal["take", "commit", "written", "told", "send", "sent", "outcome", "answer", "answered"]
STEP_DESCRIPTIONS: dict[StepName, str] = {
    "take": "a request has come whole, and the decisions are not told yet",
    "commit": "a group of steps is about to leave for the ledger",
    "written": "the ledger has carried a group out, and its answer has not come back",
    "told": "the ledger's answer has come back, and nobody has looked at it",
    "send": "an attempt is decided, and none of its bytes has gone out",
    "sent": "an attempt has gone out",
    "outcome": "the end of an attempt has come, and nobody has looked at it",
    "answer": "a final answer is decided, and none of its bytes has gone out",
    "answered": "a final answer has gone out",
}


@dataclass(slots=True)
class _Failpoint:
    """One action, run at a step after `skip` matching steps."""

    step: StepName
    action: Callable[[SimulatedGateway], None]
    gateway: int | None
    skip: int


class Failpoints:
    """A set of failpoints; each runs its action once, at the first matching step after `skip` others."""

    def __init__(self) -> None:
        self._failpoints: list[_Failpoint] = []

    def add(
        self,
        step: StepName,
        action: Callable[[SimulatedGateway], None],
        gateway: int | None = None,
        skip: int = 0,
    ) -> None:
        """Set an action at a step, on one gateway or on whichever reaches it first."""
        self._failpoints.append(_Failpoint(step, action, gateway, skip))

    def reached(self, gateway: SimulatedGateway, step: StepName) -> None:
        """Run the actions that are set at this step of this gateway."""
        if not self._failpoints:  # hot path: most runs set none
            return
        for failpoint in [
            t for t in self._failpoints if t.step == step and t.gateway in (None, gateway.number)
        ]:
            failpoint.skip -= 1
            if failpoint.skip < 0:
                self._failpoints.remove(failpoint)
                failpoint.action(gateway)
