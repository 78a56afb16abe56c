"""Named steps of a gateway's work at which a fault can be set: it is killed or paused there, mid-turn."""

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
    step: StepName
    action: Callable[[SimulatedGateway], None]
    gateway: int | None
    skip: int


class Failpoints:
    """Traps that spring once each, at the first step that fits once `skip` such steps have passed."""

    def __init__(self) -> None:
        self._failpoints: list[_Failpoint] = []

    def add(
        self,
        step: StepName,
        action: Callable[[SimulatedGateway], None],
        gateway: int | None = None,
        skip: int = 0,
    ) -> None:
        self._failpoints.append(_Failpoint(step, action, gateway, skip))

    def reached(self, gateway: SimulatedGateway, step: StepName) -> None:
        if not self._failpoints:  # hot: most runs set none
            return
        for failpoint in [
            t for t in self._failpoints if t.step == step and t.gateway in (None, gateway.number)
        ]:
            failpoint.skip -= 1
            if failpoint.skip < 0:
                self._failpoints.remove(failpoint)
                failpoint.action(gateway)
