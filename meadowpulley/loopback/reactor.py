"""The rig's reactor: timers that are not a millisecond late.

The kernel's poll counts whole milliseconds, and what is left of one is rounded up: each timer of the
stand-ins and of the driver was half a millisecond late on average, several on the way of each request.
Rounded down, the last part of a millisecond is waited out awake, which costs CPU that the gateways do not
need.
"""

from __future__ import annotations

import math
from typing import Any

from twisted.internet import main
from twisted.internet.epollreactor import EPollReactor


class PromptReactor(EPollReactor):  # type: ignore[misc,unused-ignore]
    def doPoll(self, timeout: float | None) -> None:  # noqa: N802 (Twisted's name)
        if timeout is not None:
            timeout = math.floor(timeout * 1000.0) / 1000.0
        super().doPoll(timeout)  # type: ignore[no-untyped-call]

    doIteration = doPoll  # noqa: N815


def install() -> Any:
    """Makes it this process's reactor. Raises as Twisted does where another one is installed."""
    reactor = PromptReactor()  # type: ignore[no-untyped-call]
    main.installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
