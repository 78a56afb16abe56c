"""Reactor of the test bed with timers that are less than a millisecond late.

The kernel's poll counts full milliseconds and rounds up, so that each timer was half a millisecond late on
average, several times on the way of each request. Rounded down, the remaining part is waited for
actively, which costs CPU that the gateways do not need.
"""

from __future__ import annotations

import math
from typing import Any

from twisted.internet import main
from twisted.internet.epollreactor import EPollReactor


class PromptReactor(EPollReactor):  # type: ignore[misc,unused-ignore]
    """An epoll reactor that rounds its time-outs down to full milliseconds."""

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802 (Twisted's name)
        """Poll once with the time-out rounded down."""
        if timeout is not None:
            timeout = math.floor(timeout * 1000.0) / 1000.0
        super().doPoll(timeout)  # type: ignore[no-untyped-call]

    doIteration = doPoll  # noqa: N815


def install() -> Any:
    """Install the reactor in this process. Raises as Twisted does where another one is installed."""
    reactor = PromptReactor()  # type: ignore[no-untyped-call]
    main.installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
