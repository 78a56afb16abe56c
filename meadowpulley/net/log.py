"""The gateway's log: a rate-limited line of JSON on standard error for each event."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any

import structlog
from structlog.typing import EventDict, FilteringBoundLogger, WrappedLogger

MAX_LINES_PER_SECOND = 20  # of each event name; the next line that is written counts the suppressed ones
UNLIMITED_EVENTS = ("request_trace",)  # requested line by line by an operator: none of them is suppressed


class EventRateLimiter:
    """A structlog processor that drops events which come too often, so that bad input cannot fill the log."""

    def __init__(self) -> None:
        self._second = 0
        self._counts: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def __call__(self, _: WrappedLogger, __: str, event: EventDict) -> EventDict:
        name, second = str(event["event"]), int(time.monotonic())
        if second != self._second:
            self._second, self._counts = second, {}
        self._counts[name] = self._counts.get(name, 0) + 1
        if self._counts[name] > MAX_LINES_PER_SECOND and name not in UNLIMITED_EVENTS:
            self._suppressed[name] = self._suppressed.get(name, 0) + 1
            raise structlog.DropEvent
        if name in self._suppressed:
            event["suppressed"] = self._suppressed.pop(name)
        return event


class StderrLogger:
    """Write lines to standard error. Errors are ignored: an unread log must not stop the gateway."""

    def msg(self, line: str) -> None:
        """Write one line."""
        try:
            sys.stderr.write(line + "\n")
            sys.stderr.flush()
        except (OSError, ValueError):
            pass

    debug = info = warning = error = critical = msg


def open_log(**fields: Any) -> FilteringBoundLogger:
    """Return a logger that adds `fields` to each of its lines."""
    log: FilteringBoundLogger = structlog.wrap_logger(
        StderrLogger(),
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        processors=[
            structlog.processors.add_log_level,
            EventRateLimiter(),
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
    )
    return log.bind(**fields)
