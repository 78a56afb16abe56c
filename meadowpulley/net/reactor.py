"""The gateway's reactor: Twisted's epoll reactor with a monotonic clock and reservable addresses."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import Factory

# The epoll events for an error or a hang-up. The kernel may report one of them without input although the
# connection was reset, and Twisted would then assume an orderly close. Reading the socket reveals a reset.
ERROR_EVENTS = select.EPOLLERR | select.EPOLLHUP


# Methods that Twisted calls keep Twisted's naming style.
# ruff: noqa: N802, N815


class MonotonicReactor(EPollReactor):  # type: ignore[misc,unused-ignore]  # untyped on systems without epoll
    """A reactor whose timers use the gateway's monotonic clock, which never jumps."""

    on_poll: Callable[[], None] = staticmethod(lambda: None)  # called each time a poll for events returns

    def __init__(self) -> None:
        self.reserved_sockets: dict[tuple[str, int], socket.socket] = {}
        super().__init__()  # type: ignore[no-untyped-call]  # Twisted has no types here

    def seconds(self) -> float:
        """Return the monotonic clock's time in seconds."""
        return time.monotonic()

    def doPoll(self, timeout: float | None) -> None:
        """Wait for events and handle them, those of the control plane first.

        After a stall, requests and the endpoint list that was sent after them are ready at once; the list has
        to be read before the requests are forwarded.

        This is Twisted's method without the log context that Twisted sets up around every event: nothing here
        logs through that context, and setting it up took a tenth of the cost of a request.
        """
        timeout_s = -1.0 if timeout is None else timeout
        events = self._poller.poll(timeout_s, len(self._selectables))
        self.on_poll()
        if len(events) > 1:
            events.sort(key=self._is_data_plane)
        for fd, event in events:
            selectable = self._selectables.get(fd)
            if selectable is not None:
                if event & ERROR_EVENTS and fd in self._reads:
                    event |= select.EPOLLIN
                self._doReadOrWrite(selectable, fd, event)  # type: ignore[no-untyped-call]  # Twisted has no types here

    doIteration = doPoll

    def _is_data_plane(self, event: tuple[int, int]) -> bool:
        protocol = getattr(self._selectables.get(event[0]), "protocol", None)
        return not getattr(protocol, "is_control_plane", False)

    def reserve(self, host: str, port: int) -> None:
        """Bind an address for a later `listenTCP`. Raises CannotListenError.

        Until then the kernel assigns the port to no outgoing connection of this or another process, and
        refuses connections to it.
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
        """Listen on an address, using the socket reserved for it if there is one.

        Returns Twisted's port object, typed as Any because callers use attributes that its interface lacks.
        Raises CannotListenError.
        """
        reserved = self.reserved_sockets.pop((interface, port), None)
        if reserved is None:
            return super().listenTCP(port, factory, backlog, interface)  # type: ignore[no-untyped-call]  # Twisted has no types here
        try:
            reserved.listen(backlog)
            return self.adoptStreamPort(reserved.fileno(), reserved.family, factory)  # type: ignore[no-untyped-call]  # Twisted has no types here
        except OSError as cause:
            raise _cannot_listen(interface, port, cause) from None
        finally:
            reserved.close()


def _cannot_listen(host: str, port: int, cause: OSError) -> error.CannotListenError:
    return error.CannotListenError(host, port, cause)  # type: ignore[no-untyped-call]  # Twisted has no types here
