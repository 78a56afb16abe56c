"""The base class of the gateway's TCP connections: a transport with bounded input and output buffers."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure

from meadowpulley.net.config import Address
from meadowpulley.net.deadlines import ConnectionTimeout, Deadlines
from meadowpulley.net.reactor_interface import ClientReactor, Connector
from meadowpulley.net.ring import RingBuffer, RingBufferFullError

WRITE_CHUNK_BYTES = 64 * 1024  # handed to the transport at a time
CLOSED_CLEANLY = Failure(ConnectionDone())  # type: ignore[no-untyped-call]  # Twisted's has no types

# Methods that Twisted calls have its names.
# ruff: noqa: N802

ConnectionT = TypeVar("ConnectionT", bound="Connection")


class ConnectionFactory(Factory):
    """Create the protocol of each connection that a listening port accepts."""

    noisy = False

    def __init__(self, create: Callable[[], Connection]) -> None:
        self.create = create

    def buildProtocol(self, addr: IAddress | None) -> Connection:
        """Return the protocol of an accepted connection."""
        return self.create()


class PendingConnection(ClientFactory, Generic[ConnectionT]):
    """One outgoing connection that is being established.

    `established` yields the connection or fails; cancelling it abandons the connection attempt.
    """

    noisy = False

    def __init__(self, create: Callable[[], ConnectionT]) -> None:
        self.create = create
        self.connector: Connector | None = None
        self.established: Deferred[ConnectionT] = Deferred(self._abandon)

    def _abandon(self, _: Deferred[ConnectionT]) -> None:
        if self.connector is not None:
            self.connector.disconnect()

    def buildProtocol(self, addr: IAddress | None) -> ConnectionT:
        """Return the protocol of the connection, which reports to `established` once it is set up."""
        connection = self.create()
        connection.pending = self
        return connection

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Pass the failure on to `established`."""
        if not self.established.called:
            self.established.errback(reason)


def connect(
    reactor: ClientReactor, address: Address, create: Callable[[], ConnectionT]
) -> Deferred[ConnectionT]:
    """Open a connection whose protocol `create` returns. It has no time limit: the caller sets one."""
    pending = PendingConnection(create)
    pending.connector = reactor.connectTCP(*address, pending, timeout=None)
    return pending.established


class Connection(Protocol):
    """A TCP connection with bounded buffers. Subclasses override the callbacks at the end of this class.

    Output that the kernel does not take at once goes through the output buffer, with this object as the
    transport's pull producer; `flushed` is called when the kernel has all of it.
    """

    def __init__(self, deadlines: Deadlines, max_input_bytes: int, max_output_bytes: int) -> None:
        self.deadlines = deadlines
        self.input_buffer = RingBuffer(max_input_bytes)
        self.output_buffer = RingBuffer(max_output_bytes)
        self.timeout = ConnectionTimeout(deadlines)
        self.pending: PendingConnection[Any] | None = None  # Any: it yields this object, a subclass's
        self.transport: Any = None  # Any: Twisted's interface lacks half of what TCP transports have
        self.is_open = False
        self.was_reset = False  # the connection broke rather than being closed by the peer
        self._producing = False
        self._handling_input = False

    def connectionMade(self) -> None:
        """Set the connection up and report it to whoever opened it."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.opened()
        pending = self.pending
        self.pending = None
        if pending is not None and not pending.established.called:
            pending.established.callback(self)

    def dataReceived(self, data: bytes) -> None:
        """Buffer input and hand it to `received`, after all deadlines that are due."""
        # A due deadline may ask whether this connection has unread input. The kernel no longer holds the data
        # that is being handled here: without this flag a connection was closed with a request that had been
        # read.
        self._handling_input = True
        self.deadlines.run_due()
        self._handling_input = False
        if not self.is_open:
            return
        try:
            self.input_buffer.write(data)
        except RingBufferFullError:
            self.overflowed()
            return
        self.received()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Call `closed` and release the buffers."""
        self.is_open = False
        if reason is not None and not isinstance(reason.value, ConnectionDone):
            self.was_reset = True
        self.timeout.cancel()
        self.closed()
        self.input_buffer.clear()
        self.output_buffer.clear()

    def send(self, data: bytes) -> None:
        """Write data, which must fit into the output buffer where the kernel does not take it at once."""
        if not self.is_open:
            return
        if not self._producing:
            # Write to the kernel directly: through the reactor's next turn each write costs two changes of
            # the set that it polls. The rest takes the long way.
            sent = self.transport.writeSomeData(data)
            if sent == len(data):
                self.flushed()
                return
            data = data[sent:] if isinstance(sent, int) else data
        self.output_buffer.write(data)
        if not self._producing:
            self._producing = True
            self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next chunk of the output buffer."""
        data = self.output_buffer.take(WRITE_CHUNK_BYTES)
        if data:
            self.transport.write(data)
        elif self._producing:
            self._producing = False
            self.transport.unregisterProducer()
            self.flushed()

    def stopProducing(self) -> None:
        """Stop writing: the connection is lost."""
        self._producing = False

    def has_unread_input(self) -> bool:
        """Return whether the kernel holds bytes, or the end of the connection, that were not read yet."""
        if self._handling_input:
            return True
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, AttributeError):  # AttributeError: the transport has lost its socket
            self.was_reset = True  # the kernel reports it once: the next read would see an orderly end
            return True
        return True

    def close(self) -> None:
        """Close the connection in this turn; what the kernel holds of a response is still sent.

        The transport's own `loseConnection` closes in the next turn, and input that came in between would be
        read and lost.
        """
        self.transport.connectionLost(CLOSED_CLEANLY)

    def abort(self) -> None:
        """Reset the connection at once, whatever is in flight on it."""
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    # Callbacks of subclasses. By default they do nothing, and a full input buffer aborts the connection.

    def opened(self) -> None:
        """Handle that the connection was established."""

    def received(self) -> None:
        """Handle new bytes in the input buffer."""

    def flushed(self) -> None:
        """Handle that the kernel has all output."""

    def closed(self) -> None:
        """Handle the end of the connection. The input buffer still holds what was not consumed."""

    def overflowed(self) -> None:
        """Handle input that does not fit into the input buffer."""
        self.abort()
