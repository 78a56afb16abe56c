"""The interface through which components use the gateway that they are part of.

Each component (`client_listener`, `request_admission`, `request_table`, `instance_pools`, `attempts`,
`discovery_client`, `rollout_client`, `gossip`) receives a `GatewayContext` and, as separate arguments, the
lower components that it uses. Only the module `gateway` references all of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from structlog.typing import FilteringBoundLogger

from meadowpulley.interface import Event
from meadowpulley.net.config import Config
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.extension import Extension
from meadowpulley.net.memory_budget import MemoryBudget
from meadowpulley.net.reactor_interface import GatewayReactor

if TYPE_CHECKING:
    from meadowpulley.net.capture import Capture


class GatewayContext(Protocol):
    """The part of the gateway that a component may use."""

    @property
    def config(self) -> Config:
        """The current configuration. Read the property for each use, because a reload replaces its value."""

    @property
    def reactor(self) -> GatewayReactor:
        """The Twisted reactor."""

    @property
    def log(self) -> FilteringBoundLogger:
        """The gateway's log."""

    @property
    def counters(self) -> Counters:
        """The gateway's counters."""

    @property
    def deadlines(self) -> Deadlines:
        """The gateway's clock and deadline queue."""

    @property
    def memory_budget(self) -> MemoryBudget:
        """The budget that everything is charged to which peers can fill."""

    @property
    def capture(self) -> Capture | None:
        """The recorder of arriving requests; None unless a capture file is configured."""

    @property
    def extension(self) -> Extension | None:
        """The extension that takes part in request handling; None unless one was installed."""

    @property
    def ready(self) -> bool:
        """Whether the gateway listens for clients and is not draining."""

    @property
    def stopping(self) -> bool:
        """Whether the gateway has stopped."""

    def dispatch(self, event: Event) -> None:
        """Pass an event to the pipeline and execute the resulting actions; one event at a time, in order."""

    def log_fault(self, where: str) -> None:
        """Log and count the exception being handled. `where` names the component."""

    def stop_if_drained(self) -> None:
        """Stop a draining gateway once it has no client connections and no unanswered requests.

        Call this whenever a connection has ended.
        """
