"""What a gateway's parts may ask of the gateway that ties them, and nothing more of it.

Each part (`clients`, `intake`, `requests`, `instances`, `attempts`, `discovery`, `control`, `peers`) is given
a `Host`, and by name whichever of the parts below it that it uses; `gateway` alone knows them all.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from structlog.typing import FilteringBoundLogger

from meadowpulley.interface import Event
from meadowpulley.net.config import Config
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.extension import Extension

if TYPE_CHECKING:
    from meadowpulley.net.capture import Capture


class GatewayContext(Protocol):
    @property
    def config(self) -> Config:
        """Asked for anew each time: a reload replaces it."""

    @property
    def reactor(self) -> Any: ...

    @property
    def log(self) -> FilteringBoundLogger: ...

    @property
    def counters(self) -> Counters: ...

    @property
    def deadlines(self) -> Deadlines: ...

    @property
    def capture(self) -> Capture | None:
        """Where what clients ask is noted; None unless a file is named."""

    @property
    def extension(self) -> Extension | None:
        """A part beside the intake; None unless one was set."""

    @property
    def ready(self) -> bool: ...

    @property
    def stopping(self) -> bool: ...

    def dispatch(self, event: Event) -> None:
        """Hands an event to the decisions and carries out what they decide; one at a time, in order."""

    def log_fault(self, where: str) -> None:
        """Called while an exception is handled: it is logged and counted, and ends nothing."""

    def stop_if_drained(self) -> None:
        """Called whenever a connection has ended: the last one of a draining gateway ends the gateway."""
