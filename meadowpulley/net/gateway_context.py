"""The interface through which the gateway's components use the gateway that connects them.

Each component (`client_listener`, `request_admission`, `request_table`, `instance_pools`, `attempts`,
`discovery_client`, `rollout_client`, `gossip`) receives a `GatewayContext` and, by name, the lower components
that it uses. Only `gateway` knows all of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from structlog.typing import FilteringBoundLogger

from meadowpulley.interface import Event
from meadowpulley.net.config import Config
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.extension import Extension
from meadowpulley.net.reactor_interface import GatewayReactor

if TYPE_CHECKING:
    from meadowpulley.net.capture import Capture


class GatewayContext(Protocol):
    """What a component may use of its gateway."""

    @property
    def config(self) -> Config:
        """The current configuration. Read it anew for each use: a reload replaces it."""

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
    def capture(self) -> Capture | None:
        """The recorder of arriving requests; None unless a capture file is configured."""

    @property
    def extension(self) -> Extension | None:
        """The extension that takes part in request handling; None unless one was installed."""

    @property
    def ready(self) -> bool:
        """Whether the gateway accepts and serves requests."""

    @property
    def stopping(self) -> bool:
        """Whether the gateway has stopped."""

    def dispatch(self, event: Event) -> None:
        """Pass an event to the pipeline and carry out the resulting actions; one at a time, in order."""

    def log_fault(self, where: str) -> None:
        """Log and count the exception that is being handled. `where` names the component."""

    def stop_if_drained(self) -> None:
        """Stop a draining gateway when nothing is left to answer. Call it whenever a connection has ended."""
