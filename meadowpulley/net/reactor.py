"""The gateway's reactor: Twisted's on epoll, with a monotonic clock and addresses that can be reserved."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import Factory

# An error or a hang-up. The kernel may report it alone, though a reset is what there is to read: Twisted then
# takes the end for an orderly one. Reading tells which it is.
ERROR_EVENTS = select.EPOLLERR | select.EPOLLHUP


# Methods that Twisted calls have its names.
# ruff: noqa: N802, N815


class MonotonicReactor(EPollReactor):  # type: ignore[misc,unused-ignore]  # untyped where Twisted lacks epoll
    """A reactor whose timers follow the clock that the gateway follows, which never jumps."""

    on_poll: Callable[[], None] = staticmethod(lambda: None)  # called once it is known which input has come

    def __init__(self) -> None:
        self.reserved_sockets: dict[tuple[str, int], socket.socket] = {}
        super().__init__()  # type: ignore[no-untyped-call]  # Twisted's has no types

    def seconds(self) -> float:
        """Return the monotonic clock's time in seconds."""
        return time.monotonic()

    def doPoll(self, timeout: float | None) -> None:
        """Wait for events and handle them.

        As in Twisted, without the log context that Twisted sets up around every event: nothing here logs by
        way of it, and it cost a tenth of a request.
        """
        timeout_s = -1.0 if timeout is None else timeout
        events = self._poller.poll(timeout_s, len(self._selectables))
        self.on_poll()
        for fd, event in events:
            selectable = self._selectables.get(fd)
            if selectable is not None:
                if event & ERROR_EVENTS and fd in self._reads:
                    event |= select.EPOLLIN
                self._doReadOrWrite(selectable, fd, event)  # type: ignore[no-untyped-call]  # as above

    doIteration = doPoll

    def reserve(self, host: str, port: int) -> None:
        """Bind an address that is listened on later. Raises CannotListenError.

        Until then no outgoing connection, of this process or another, is given that port, and whoever
        connects to it is refused.
        """
        reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        reserved.setblocking(False)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            reserved.bind((host, port))
        except OSError as cause:
            reserved.close()
            raise _cannot_listen(host, port, cause) from None
        self.reserved_sockets[host, port] = reserved

    def listenTCP(self, port: int, factory: Factory, backlog: int = 50, interface: str = "") -> Any:
        """Listen on an address, with the socket that was reserved for it if there is one.

        Returns Twisted's port, which has more than its interface says. Raises CannotListenError.
        """
        reserved = self.reserved_sockets.pop((interface, port), None)
        if reserved is None:
            return super().listenTCP(port, factory, backlog, interface)  # type: ignore[no-untyped-call]  # as above
        try:
            reserved.listen(backlog)
            return self.adoptStreamPort(reserved.fileno(), reserved.family, factory)  # type: ignore[no-untyped-call]  # as above
        except OSError as cause:
            raise _cannot_listen(interface, port, cause) from None
        finally:
            reserved.close()


def _cannot_listen(host: str, port: int, cause: OSError) -> error.CannotListenError:
    return error.CannotListenError(host, port, cause)  # type: ignore[no-untyped-call]  # Twisted's has no types
