"""The interface of stages, the links of the chain between a gateway's sockets and its policy.

Each stage wraps the next one. It handles an event itself, or passes the event to the next stage and may
change the actions that the next stage returns. Every feature that uses the ledger is a stage inside the lease
manager.
"""

from __future__ import annotations

from typing import Any, Protocol, TypeAlias

from meadowpulley.interface import Action, Event
from meadowpulley.ledger.messages import LedgerAction, LedgerEvent

StageEvent: TypeAlias = Event | LedgerEvent
StageAction: TypeAlias = Action | LedgerAction


class Stage(Protocol):
    """A stage of the chain.

    The types of events and actions are `Any`, because packages that depend on this one define further events
    and actions. A stage passes on those that it does not know.
    """

    def handle(self, now: float, event: Any) -> list[Any]:
        """Return the actions in response to an event; `now` is in milliseconds."""
