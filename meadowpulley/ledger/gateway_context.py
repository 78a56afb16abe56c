"""Protocols for what the ledger client uses of its gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias, TypeVar

from meadowpulley.interface import Timer
from meadowpulley.ledger.messages import LedgerEvent

ActionT = TypeVar("ActionT")
ClientEvent: TypeAlias = LedgerEvent | Timer  # the events that the ledger client dispatches


class DeadlineQueue(Protocol):
    """The gateway's clock, which also runs delayed calls."""

    def now(self) -> float:
        """Return the time in milliseconds."""

    def after(self, delay_ms: float, callback: Callable[[], None], /) -> object:
        """Call `callback` in the reactor thread after a delay in milliseconds."""


class EventLogger(Protocol):
    """The gateway's structured log."""

    def info(self, event: str, **fields: object) -> object:
        """Log an ordinary event."""

    def warning(self, event: str, **fields: object) -> object:
        """Log an event that the operator should look at."""

    def error(self, event: str, **fields: object) -> object:
        """Log an event that the operator must act on."""


class CounterSet(Protocol):
    """Named counters of the gateway."""

    def add(self, name: str, /) -> None:
        """Add one to a counter."""


class GatewayContext(Protocol):
    """The interface of a gateway, as the ledger client uses it."""

    @property
    def deadlines(self) -> DeadlineQueue:
        """The gateway's clock, which also schedules delayed calls."""

    @property
    def log(self) -> EventLogger:
        """The gateway's structured event log."""

    @property
    def counters(self) -> CounterSet:
        """The gateway's named event counters."""

    def dispatch(self, event: ClientEvent, /) -> None:
        """Pass an event to the outermost stage, and run the actions that it returns."""

    def register_action(self, action_type: type[ActionT], handler: Callable[[ActionT], None], /) -> None:
        """Call `handler` for every action of `action_type` from now on."""


class ReactorThreads(Protocol):
    """The part of Twisted's reactor that the worker thread uses."""

    def callFromThread(  # noqa: N802  # the method name is defined by Twisted
        self, function: Callable[..., object], /, *arguments: object
    ) -> object:
        """Call a function in the reactor thread."""
