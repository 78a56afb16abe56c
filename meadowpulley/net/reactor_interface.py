"""Protocols for the parts of a Twisted reactor that the gateway uses.

Twisted declares its reactors with zope interfaces, which mypy does not check. Each component is annotated
with the narrowest protocol that it needs, so that a test can replace the reactor with a few methods.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory
from twisted.python.failure import Failure

# Methods, attributes and parameters keep Twisted's names.
# ruff: noqa: N802, N803, N815


class DelayedCall(Protocol):
    """A scheduled call of the reactor."""

    def reset(self, delay_s: float, /) -> None:
        """Reschedule the call to `delay_s` seconds from now."""


class TimerReactor(Protocol):
    """A reactor that can schedule calls."""

    def callLater(self, delay_s: float, function: Callable[..., None], /, *arguments: object) -> DelayedCall:
        """Call a function after a delay in seconds."""


class Connector(Protocol):
    """An outgoing connection, established or still connecting."""

    def disconnect(self) -> None:
        """Close the connection, or abandon the attempt to establish it."""


class ListeningPort(Protocol):
    """A listening TCP socket."""

    numberAccepts: int  # maximum number of connections that the next read accepts

    def doRead(self) -> None:
        """Accept connections that wait in the backlog."""

    def startReading(self) -> None:
        """Accept connections from now on."""

    def stopReading(self) -> None:
        """Leave connections in the backlog from now on."""

    def connectionLost(self, reason: Failure, /) -> None:
        """Close the socket at once."""


class DatagramPort(Protocol):
    """A bound UDP socket."""

    def write(self, datagram: bytes, address: tuple[str, int], /) -> None:
        """Send a datagram. Raises OSError."""

    def stopListening(self) -> object:
        """Close the socket."""


class ClientReactor(TimerReactor, Protocol):
    """A reactor that opens TCP connections."""

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: ClientFactory,
        timeout: Any,  # seconds, or None for no limit, which Twisted's annotation omits
    ) -> Connector:
        """Open a connection whose protocol the factory builds."""


class StreamReactor(ClientReactor, Protocol):
    """A reactor that opens and accepts TCP connections."""

    def listenTCP(self, port: int, factory: Factory, /, *, backlog: int, interface: str) -> ListeningPort:
        """Listen on an address; the factory builds the protocol of each accepted connection."""

    def callFromThread(self, function: Callable[..., None], /, *arguments: object) -> None:
        """Call a function in a turn of the reactor; safe to use in threads and signal handlers."""

    def stop(self) -> None:
        """End the reactor's loop."""


class GatewayReactor(StreamReactor, Protocol):
    """A reactor with every method that the gateway uses."""

    def listenUDP(
        self, port: int, protocol: DatagramProtocol, /, *, interface: str, maxPacketSize: int
    ) -> DatagramPort:
        """Bind an address; the protocol receives its datagrams."""
