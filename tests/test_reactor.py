"""The reactor's handling of error and hang-up events from epoll."""

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
    """A connection whose next read reports a reset."""

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
def test_an_error_event_without_input_is_read_and_reported_as_a_lost_connection(event: int) -> None:
    # The kernel reports about one reset in several hundred as an error event without input. Twisted treats it
    # as an orderly close, so a truncated response that ends with its connection was taken for complete.
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
