"""Failpoints: steps of a gateway's work at which it can be killed or paused."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, Protocol, TypeVar


class NumberedProcess(Protocol):
    """A process that is told from others by its number."""

    number: int


ProcessT = TypeVar("ProcessT", bound=NumberedProcess)


class Step(Enum):
    """Where a failpoint stands: before or after an operation of the gateway."""

    BEFORE_REQUEST_DISPATCHED = "before_request_dispatched"
    BEFORE_COMMIT_SENT = "before_commit_sent"
    AFTER_COMMIT_APPLIED = "after_commit_applied"
    BEFORE_COMMIT_RESULT_HANDLED = "before_commit_result_handled"
    BEFORE_ATTEMPT_SENT = "before_attempt_sent"
    AFTER_ATTEMPT_SENT = "after_attempt_sent"
    BEFORE_OUTCOME_HANDLED = "before_outcome_handled"
    BEFORE_RESPONSE_SENT = "before_response_sent"
    AFTER_RESPONSE_SENT = "after_response_sent"


STEP_DESCRIPTIONS: dict[Step, str] = {
    Step.BEFORE_REQUEST_DISPATCHED: "a request was received completely and not yet dispatched to the stages",
    Step.BEFORE_COMMIT_SENT: "a batch of transactions is ready and not yet sent to the ledger",
    Step.AFTER_COMMIT_APPLIED: "the ledger applied a batch and its response has not arrived",
    Step.BEFORE_COMMIT_RESULT_HANDLED: "the ledger's response arrived and was not yet handled",
    Step.BEFORE_ATTEMPT_SENT: "an attempt was decided and none of its bytes was sent",
    Step.AFTER_ATTEMPT_SENT: "an attempt was sent",
    Step.BEFORE_OUTCOME_HANDLED: "an attempt ended and its outcome was not yet handled",
    Step.BEFORE_RESPONSE_SENT: "a final response was decided and none of its bytes was sent",
    Step.AFTER_RESPONSE_SENT: "a final response was sent",
}


@dataclass(slots=True)
class _Failpoint(Generic[ProcessT]):
    """One action, run at a step after `skip` matching steps."""

    step: Step
    action: Callable[[ProcessT], None]
    gateway: int | None
    skip: int

    def matches(self, gateway: int, step: Step) -> bool:
        """Return whether it is set at this step of this gateway."""
        return self.step is step and self.gateway in (None, gateway)


class Failpoints(Generic[ProcessT]):
    """A set of failpoints; each runs its action once, at the first matching step after `skip` others."""

    def __init__(self) -> None:
        self._failpoints: list[_Failpoint[ProcessT]] = []

    def add(
        self,
        step: Step,
        action: Callable[[ProcessT], None],
        gateway: int | None = None,
        skip: int = 0,
    ) -> None:
        """Set an action at a step, on one gateway or on whichever reaches it first."""
        self._failpoints.append(_Failpoint(step, action, gateway, skip))

    def reached(self, gateway: ProcessT, step: Step) -> None:
        """Run the actions that are set at this step of this gateway."""
        if not self._failpoints:  # hot path: most runs set none
            return
        matching = [failpoint for failpoint in self._failpoints if failpoint.matches(gateway.number, step)]
        for failpoint in matching:
            failpoint.skip -= 1
            if failpoint.skip < 0:
                self._failpoints.remove(failpoint)
                failpoint.action(gateway)
