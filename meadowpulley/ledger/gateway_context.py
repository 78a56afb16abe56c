"""What the ledger's client needs of the gateway that it serves, as protocols."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias, TypeVar

from meadowpulley.interface import Timer
from meadowpulley.ledger.messages import LedgerEvent

ActionT = TypeVar("ActionT")
ClientEvent: TypeAlias = LedgerEvent | Timer  # what the ledger's client dispatches


class DeadlineQueue(Protocol):
    """The gateway's clock and its delayed calls."""

    def now(self) -> float:
        """Return the time in milliseconds."""

    def after(self, delay_ms: float, callback: Callable[[], None], /) -> object:
        """Call `callback` from the reactor after a delay."""


class EventLogger(Protocol):
    """The gateway's structured log."""

    def info(self, event: str, **fields: object) -> object:
        """Log an ordinary event."""

    def warning(self, event: str, **fields: object) -> object:
        """Log an event that the operator should look at."""

    def error(self, event: str, **fields: object) -> object:
        """Log an event that the operator must act on."""


class CounterSet(Protocol):
    """The gateway's counters."""

    def add(self, name: str, /) -> None:
        """Add one to a counter."""


class GatewayContext(Protocol):
    """The gateway of a ledger client."""

    @property
    def deadlines(self) -> DeadlineQueue:
        """The clock and the delayed calls."""

    @property
    def log(self) -> EventLogger:
        """The structured log."""

    @property
    def counters(self) -> CounterSet:
        """The counters."""

    def dispatch(self, event: ClientEvent, /) -> None:
        """Give an event to the outermost stage, and run the actions that it returns."""

    def register_action(self, action_type: type[ActionT], handler: Callable[[ActionT], None], /) -> None:
        """Run every action of that type by `handler` from now on."""


class ReactorThreads(Protocol):
    """What a worker thread needs of Twisted's reactor."""

    def callFromThread(  # noqa: N802  # Twisted's name
        self, function: Callable[..., object], /, *arguments: object
    ) -> object:
        """Call a function from the reactor's thread."""
