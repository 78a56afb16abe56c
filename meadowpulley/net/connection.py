"""What every TCP connection of the gateway has in common: a ring in, a ring out, and the way between them."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure

from meadowpulley.net.config import Address
from meadowpulley.net.deadlines import ConnectionTimeout, Deadlines
from meadowpulley.net.ring import RingBuffer, RingBufferFullError

WRITE_CHUNK_BYTES = 64 * 1024  # bytes handed to the transport at a time
CLOSED_CLEANLY = Failure(ConnectionDone())  # type: ignore[no-untyped-call]


class ConnectionFactory(Factory):
    """Makes the protocol of each connection that a listening port accepts."""

    noisy = False

    def __init__(self, create: Callable[[], Connection]) -> None:
        self.create = create

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: N802 (Twisted's name)
        return self.create()


class PendingConnection(ClientFactory):
    """One connection in the making. `up` gives the link, or fails; cancelling it gives the attempt up."""

    noisy = False

    def __init__(self, create: Callable[[], Connection]) -> None:
        self.create = create
        self.connector: Any = None
        self.established: Deferred[Any] = Deferred(lambda _: self.connector.disconnect())

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: N802
        connection = self.create()
        connection.pending = self
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        if not self.established.called:
            self.established.errback(reason)


def connect(reactor: Any, address: Address, create: Callable[[], Connection]) -> Deferred[Any]:
    """A connection of the made kind. It has no time limit: whoever asks for it sets a deadline."""
    pending = PendingConnection(create)
    pending.connector = reactor.connectTCP(*address, pending, timeout=None)
    return pending.established


class Connection(Protocol):
    """Feeds the transport from the ring, as a pull producer where need be: `flushed` comes once the kernel
    has it all."""

    def __init__(self, deadlines: Deadlines, max_input_bytes: int, max_output_bytes: int) -> None:
        self.deadlines = deadlines
        self.input_buffer, self.output_buffer = RingBuffer(max_input_bytes), RingBuffer(max_output_bytes)
        self.timeout = ConnectionTimeout(deadlines)
        self.pending: PendingConnection | None = None
        self.transport: Any = None
        self.is_open = self.was_reset = False  # broken: it did not end, as a reset connection
        self._producing = self._handling_input = False

    def connectionMade(self) -> None:  # noqa: N802
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.opened()
        pending, self.pending = self.pending, None
        if pending is not None and not pending.established.called:
            pending.established.callback(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        # What is due runs before new input. It may ask whether this connection is silent, and the kernel no
        # longer holds what is in hand here: it was closed with a request that had been read.
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

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.is_open = False
        if reason is not None and not isinstance(reason.value, ConnectionDone):
            self.was_reset = True
        self.timeout.cancel()
        self.closed()
        self.input_buffer.clear()
        self.output_buffer.clear()

    def send(self, data: bytes) -> None:
        if not self.is_open:
            return
        if not self._producing:
            # Straight to the kernel: by way of the reactor's next turn, each write costs two changes of what
            # it polls for. What the kernel does not take goes the long way.
            sent = self.transport.writeSomeData(data)
            if sent == len(data):
                self.flushed()
                return
            data = data[sent:] if isinstance(sent, int) else data
        self.output_buffer.write(data)
        if not self._producing:
            self._producing = True
            self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        data = self.output_buffer.take(WRITE_CHUNK_BYTES)
        if data:
            self.transport.write(data)
        elif self._producing:
            self._producing = False
            self.transport.unregisterProducer()
            self.flushed()

    def stopProducing(self) -> None:  # noqa: N802
        self._producing = False

    def has_unread_input(self) -> bool:
        """Whether bytes have come, or the end of the connection, that nothing here has looked at yet."""
        if self._handling_input:
            return True
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, AttributeError):
            self.was_reset = True  # the kernel tells it once: to the next read it is an end like any other
            return True
        return True

    def close(self) -> None:
        """Ends the connection in this turn, and in order: what the kernel has of an answer still goes out. By
        the transport's own way it is the next turn, and what came in between was read and lost."""
        self.transport.connectionLost(CLOSED_CLEANLY)

    def abort(self) -> None:
        """Ends the connection at once, whatever is under way."""
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    # What a connection of one kind does; nothing unless it says so.

    def opened(self) -> None:
        pass

    def received(self) -> None:
        pass

    def flushed(self) -> None:
        pass

    def closed(self) -> None:
        pass

    def overflowed(self) -> None:
        self.abort()
