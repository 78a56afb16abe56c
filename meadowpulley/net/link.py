"""What every TCP connection of the gateway has in common: a ring in, a ring out, and the way between them."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from meadowpulley.net.config import Address
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.ring import Ring, RingFullError

PIECE = 64 * 1024  # bytes handed to the transport at a time


class LinkFactory(Factory):
    noisy = False

    def __init__(self, make: Callable[[], Link]) -> None:
        self.make = make

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802 (Twisted's name)
        return self.make()


def connect(reactor: Any, address: Address, make: Callable[[], Link]) -> Deferred[Any]:
    """A connection of the made kind. It has no time limit: whoever asks for it sets a deadline."""
    endpoint: Any = TCP4ClientEndpoint(reactor, *address, timeout=None)  # type: ignore[arg-type]
    opening: Deferred[Any] = endpoint.connect(LinkFactory(make))
    return opening


class Link(Protocol):
    """Feeds the transport from the ring as a pull producer: `flushed` comes once the kernel has it all."""

    def __init__(self, deadlines: Deadlines, bound_in: int, bound_out: int) -> None:
        self.deadlines = deadlines
        self.inward, self.outward = Ring(bound_in), Ring(bound_out)
        self.up = False
        self._feeding = False

    @property
    def wire(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:  # noqa: N802
        self.up = True
        self.wire.setTcpNoDelay(True)
        self.opened()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.deadlines.run_due()  # what is due runs before new input
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
        self.closed()
        self.inward.clear()
        self.outward.clear()

    def send(self, data: bytes) -> None:
        if not self.up:
            return
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
        """Whether the kernel holds bytes, or the end of the connection, that were not read yet."""
        try:
            self.wire.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, AttributeError):
            return True
        return True

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
