"""The stages of a gateway: the parts of the chain between its sockets and its policy.

A stage wraps the next one. It handles an event by itself, or passes it on and may change the actions that
come back. What rests on the ledger is a stage inside the lease manager.
"""

from __future__ import annotations

from typing import Any, Protocol, TypeAlias

from meadowpulley.interface import Action, Event
from meadowpulley.ledger.messages import LedgerAction, LedgerEvent

StageEvent: TypeAlias = Event | LedgerEvent
StageAction: TypeAlias = Action | LedgerAction


class Stage(Protocol):
    """Any stage of the chain.

    Some packages add events and actions of their own, which stages that do not know them pass on. Those
    packages are built on this one, so the types stay open here.
    """

    def handle(self, now: float, event: Any) -> list[Any]:
        """Return the actions that follow from an event; `now` is in milliseconds."""
