"""The reactor's own handling of events that epoll reports."""

from __future__ import annotations

import select
import socket
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.main import CONNECTION_LOST

from meadowpulley.net.reactor import MonotonicReactor


class ResetConnection:
    """A connection whose next read reports that it was reset."""

    def __init__(self) -> None:
        self.socket, self.other_end = socket.socketpair()
        self.ended_by: list[type] = []

    def fileno(self) -> int:
        return self.socket.fileno()

    def doRead(self) -> Exception:  # noqa: N802 (Twisted's name)
        return CONNECTION_LOST

    def connectionLost(self, reason: Any) -> None:  # noqa: N802 (Twisted's name)
        self.ended_by.append(type(reason.value))


@pytest.mark.parametrize("event", [select.EPOLLERR, select.EPOLLHUP, select.EPOLLERR | select.EPOLLHUP])
def test_an_error_without_input_is_read_and_no_orderly_end(event: int) -> None:
    # The kernel reports one reset in some hundreds as an error alone, without input. Twisted took it for an
    # orderly end, and a response framed by the end of its connection for complete though it was cut off.
    connection = ResetConnection()
    reactor: Any = MonotonicReactor()
    reactor.addReader(connection)
    reactor._poller = SimpleNamespace(
        poll=lambda *_: [(connection.fileno(), event)], modify=lambda *_: None, unregister=lambda _: None
    )
    reactor.doPoll(0.0)
    connection.socket.close()
    connection.other_end.close()
    assert connection.ended_by == [ConnectionLost]
