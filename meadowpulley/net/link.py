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
from meadowpulley.net.deadlines import Deadlines, Limit
from meadowpulley.net.ring import Ring, RingFullError

PIECE = 64 * 1024  # bytes handed to the transport at a time
DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]


class LinkFactory(Factory):
    """Makes the protocol of each connection that a listening port accepts."""

    noisy = False

    def __init__(self, make: Callable[[], Link]) -> None:
        self.make = make

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802 (Twisted's name)
        return self.make()


class Opening(ClientFactory):
    """One connection in the making. `up` gives the link, or fails; cancelling it gives the attempt up."""

    noisy = False

    def __init__(self, make: Callable[[], Link]) -> None:
        self.make = make
        self.connector: Any = None
        self.up: Deferred[Any] = Deferred(lambda _: self.connector.disconnect())

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802
        link = self.make()
        link.opening = self
        return link

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        if not self.up.called:
            self.up.errback(reason)


def connect(reactor: Any, address: Address, make: Callable[[], Link]) -> Deferred[Any]:
    """A connection of the made kind. It has no time limit: whoever asks for it sets a deadline."""
    opening = Opening(make)
    opening.connector = reactor.connectTCP(*address, opening, timeout=None)
    return opening.up


class Link(Protocol):
    """Feeds the transport from the ring, as a pull producer where need be: `flushed` comes once the kernel
    has it all."""

    def __init__(self, deadlines: Deadlines, bound_in: int, bound_out: int) -> None:
        self.deadlines = deadlines
        self.inward, self.outward = Ring(bound_in), Ring(bound_out)
        self.limit = Limit(deadlines)
        self.opening: Opening | None = None
        self.wire: Any = None
        self.up = self.broken = False  # broken: it did not end, as a reset connection
        self._feeding = self._in_hand = False

    def connectionMade(self) -> None:  # noqa: N802
        self.up, self.wire = True, self.transport
        self.wire.setTcpNoDelay(True)
        self.opened()
        opening, self.opening = self.opening, None
        if opening is not None and not opening.up.called:
            opening.up.callback(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        # What is due runs before new input. It may ask whether this connection is silent, and the kernel no
        # longer holds what is in hand here: it was closed with a request that had been read.
        self._in_hand = True
        self.deadlines.run_due()
        self._in_hand = False
        if not self.up:
            return
        try:
            self.inward.write(data)
        except RingFullError:
            self.overflowed()
            return
        self.received()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.up = False
        if reason is not None and not isinstance(reason.value, ConnectionDone):
            self.broken = True
        self.limit.clear()
        self.closed()
        self.inward.clear()
        self.outward.clear()

    def send(self, data: bytes) -> None:
        if not self.up:
            return
        if not self._feeding:
            # Straight to the kernel: by way of the reactor's next turn, each write costs two changes of what
            # it polls for. What the kernel does not take goes the long way.
            sent = self.wire.writeSomeData(data)
            if sent == len(data):
                self.flushed()
                return
            data = data[sent:] if isinstance(sent, int) else data
        self.outward.write(data)
        if not self._feeding:
            self._feeding = True
            self.wire.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        data = self.outward.take(PIECE)
        if data:
            self.wire.write(data)
        elif self._feeding:
            self._feeding = False
            self.wire.unregisterProducer()
            self.flushed()

    def stopProducing(self) -> None:  # noqa: N802
        self._feeding = False

    def unread(self) -> bool:
        """Whether bytes have come, or the end of the connection, that nothing here has looked at yet."""
        if self._in_hand:
            return True
        try:
            self.wire.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, AttributeError):
            self.broken = True  # the kernel tells it once: to the next read it is an end like any other
            return True
        return True

    def close(self) -> None:
        """Ends the connection in this turn, and in order: what the kernel has of an answer still goes out. By
        the transport's own way it is the next turn, and what came in between was read and lost."""
        self.wire.connectionLost(DONE)

    def drop(self) -> None:
        """Ends the connection at once, whatever is under way."""
        if self.up:
            self.up = False
            self.wire.abortConnection()

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
        self.drop()
