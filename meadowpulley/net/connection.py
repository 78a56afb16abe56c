"""Base class of the gateway's TCP connections, with bounded input and output buffers."""

from __future__ import annotations

import contextlib
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
from meadowpulley.net.memory_budget import MemoryAccount
from meadowpulley.net.reactor_interface import ClientReactor, Connector
from meadowpulley.net.ring import RingBuffer, RingBufferFullError
from meadowpulley.net.tcp_info import TcpInfo, read_tcp_info

TCP_QUICKACK: int | None = getattr(socket, "TCP_QUICKACK", None)  # not on every system
WRITE_CHUNK_BYTES = 8 * 1024  # maximum size of one write to the transport, which keeps a copy of it
READ_BYTES = 64 * 1024  # maximum size of one read, unless a subclass sets a smaller one
CLOSED_CLEANLY = Failure(ConnectionDone())  # type: ignore[no-untyped-call]  # Failure() is not annotated

# Twisted defines the names of the methods that it calls. These names break rule N802 of the linter.
# ruff: noqa: N802

ConnectionT = TypeVar("ConnectionT", bound="Connection")


class ConnectionFactory(Factory):
    """Creates the protocol object of each connection that a listening port accepts."""

    noisy = False

    def __init__(self, create: Callable[[], Connection]) -> None:
        self.create = create

    def buildProtocol(self, addr: IAddress | None) -> Connection:
        """Return the protocol object for an accepted connection."""
        return self.create()


class PendingConnection(ClientFactory, Generic[ConnectionT]):
    """An outgoing connection that is being established.

    The deferred `established` fires with the connection or fails. Cancelling the deferred aborts the
    connection attempt.
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
        """Return the protocol object, which fires `established` once the connection is established."""
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
    """Open a connection with a protocol object from `create`. The caller must set a timeout."""
    pending = PendingConnection(create)
    pending.connector = reactor.connectTCP(*address, pending, timeout=None)
    return pending.established


class Connection(Protocol):
    """A TCP connection with bounded buffers. Subclasses override the callbacks at the end of the class.

    Output that the kernel doesn't accept immediately is stored in the output buffer, from which this object
    feeds the transport as a pull producer. `flushed` is called when the kernel has accepted all output.
    What the connection holds is charged to `memory`, if an account is given.
    """

    read_bytes = READ_BYTES
    # Whether the input changes what may be sent to instances; it is handled ahead of other input and of due
    # deadlines.
    is_control_plane = False

    def __init__(
        self,
        deadlines: Deadlines,
        max_input_bytes: int,
        max_output_bytes: int,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.deadlines = deadlines
        self.memory = memory
        self.input_buffer = RingBuffer(max_input_bytes)
        self.output_buffer = RingBuffer(max_output_bytes)
        self.timeout = ConnectionTimeout(deadlines)
        # Any: the type argument is the subclass that this object is an instance of.
        self.pending: PendingConnection[Any] | None = None
        self.transport: Any = None  # Any: Twisted's interface type lacks many methods of TCP transports
        self.is_open = False
        self.was_reset = False  # whether the connection broke instead of being closed by the peer
        self.last_read_bytes = 0
        self._producing = False
        self._handling_input = False

    def connectionMade(self) -> None:
        """Initialize the connection, call `opened`, and fire `established` if the connection is outgoing."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = self.read_bytes
        self.opened()
        pending = self.pending
        self.pending = None
        if pending is not None and not pending.established.called:
            pending.established.callback(self)

    def dataReceived(self, data: bytes) -> None:
        """Run all due deadlines, then buffer the input and call `received`.

        Input of the control plane is handled first, as deadlines that run late may send requests.
        """
        if not self.is_control_plane:
            self._run_due_deadlines()
        if self.is_open:
            self._buffer_input(data)
        if self.is_control_plane:
            self._run_due_deadlines()

    def _run_due_deadlines(self) -> None:
        # `_handling_input` makes `has_unread_input` return True, although `data` is no longer in the kernel.
        # Otherwise the callback of a due timeout could close a connection whose request has just been read.
        self._handling_input = True
        self.deadlines.run_due()
        self._handling_input = False

    def _buffer_input(self, data: bytes) -> None:
        self.last_read_bytes = len(data)
        try:
            self.input_buffer.write(data)
        except RingBufferFullError:
            self.overflowed()
            return
        self.received()
        self.charge_memory()
        if self.memory is not None and not self.memory.relieve():
            self.budget_exceeded()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Call `closed` and empty the buffers."""
        self.is_open = False
        if reason is not None and not isinstance(reason.value, ConnectionDone):
            self.was_reset = True
        self.timeout.cancel()
        self.closed()
        self.input_buffer.clear()
        self.output_buffer.clear()
        self.release_memory()

    def held_bytes(self) -> int:
        """Return the memory in bytes that the connection holds for its peer."""
        return self.input_buffer.capacity + self.output_buffer.capacity

    def charge_memory(self) -> None:
        """Charge what the connection holds now."""
        if self.memory is not None and self.is_open:
            self.memory.charge(self.held_bytes())

    def release_memory(self) -> None:
        """Release the whole charge, because the connection has ended."""
        if self.memory is not None:
            self.memory.charge(0)

    def send(self, data: bytes) -> None:
        """Write data. The part that the kernel doesn't accept immediately must fit into the output buffer."""
        if not self.is_open:
            return
        if not self._producing:
            # Write to the kernel directly, since a write through the reactor changes the poll set twice.
            # Only the data that the kernel doesn't accept goes through the reactor.
            sent = self.transport.writeSomeData(data)
            if sent == len(data):
                self.flushed()
                return
            data = data[sent:] if isinstance(sent, int) else data
        self.output_buffer.write(data)
        self.charge_memory()
        if not self._producing:
            self._producing = True
            self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next chunk of the output buffer to the transport."""
        data = self.output_buffer.take(WRITE_CHUNK_BYTES)
        if data:
            self.charge_memory()
            self.transport.write(data)
        elif self._producing:
            self._producing = False
            self.transport.unregisterProducer()
            self.flushed()

    def stopProducing(self) -> None:
        """Stop writing because the connection is lost."""
        self._producing = False

    def has_unread_input(self) -> bool:
        """Return whether input, or the end of the connection, has arrived but was not processed yet."""
        return self._handling_input or self._peek() is not None

    def _peek(self) -> bytes | None:
        """Return the next byte without taking it: empty at the end, None if there is no input."""
        try:
            next_byte: bytes = self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except (OSError, AttributeError):  # AttributeError: the transport has no socket any more
            self.was_reset = True  # the kernel reports a reset only once, and then a clean end
            return b""
        return next_byte

    def acknowledge_input(self) -> None:
        """Acknowledge the received input at once, where the system allows it.

        Otherwise the kernel delays the acknowledgement by up to 40 ms, and a peer without TCP_NODELAY holds
        its next small write back until then.
        """
        if TCP_QUICKACK is not None:
            with contextlib.suppress(OSError, AttributeError):
                self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, TCP_QUICKACK, 1)

    def tcp_info(self) -> TcpInfo:
        """Return what the kernel knows of the connection.

        Where the system doesn't tell, input counts as new, and no end behind unread input is found.
        """
        info = read_tcp_info(self.transport.getHandle())
        return info or TcpInfo(peer_has_closed=self._peek() == b"", input_age_ms=0)

    def peer_has_closed(self) -> bool:
        """Return whether the end of the connection has arrived, even if it was not read yet.

        A process that was held up finds a request and the end of its connection in the kernel at once, and
        the reactor reads the end only in a later turn.
        """
        return not self.is_open or self.tcp_info().peer_has_closed

    def close(self) -> None:
        """Close the connection in this reactor turn. The kernel still sends the rest of a response.

        The transport's `loseConnection` would close the connection only in the next turn, and input that
        arrives until then would be read and lost.
        """
        self.transport.connectionLost(CLOSED_CLEANLY)

    def abort(self) -> None:
        """Reset the connection immediately and discard unsent output."""
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    # Callbacks for subclasses. The defaults do nothing, except that `overflowed` aborts the connection.

    def opened(self) -> None:
        """Initialize the subclass when the connection is established."""

    def received(self) -> None:
        """Handle new bytes in the input buffer."""

    def flushed(self) -> None:
        """Continue after the kernel has accepted all output."""

    def closed(self) -> None:
        """Handle the end of the connection. The input buffer still holds unprocessed input."""

    def budget_exceeded(self) -> None:
        """Handle that the memory budget is exceeded after a read, although load was shed."""

    def overflowed(self) -> None:
        """Handle input that doesn't fit into the input buffer."""
        self.abort()
