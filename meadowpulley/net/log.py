"""The gateway's log: writes events to standard error as rate-limited lines of JSON."""

from __future__ import annotations

import logging
import sys
import time

import structlog
from structlog.typing import EventDict, FilteringBoundLogger, WrappedLogger

UNEXPECTED_EXCEPTION_EVENT = "unexpected_exception"  # logged for a caught bug; the gateway goes on
MAX_LINES_PER_SECOND = 20  # lines per event name; the next line written says how many were suppressed
UNLIMITED_EVENTS = ("request_trace",)  # never suppressed, since an operator asked for every line


class EventRateLimiter:
    """A structlog processor that drops events beyond a rate, so that bad input cannot flood the log."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self._second = 0
        self._counts: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def __call__(self, _: WrappedLogger, __: str, event: EventDict) -> EventDict:
        """Return the event with the number of events suppressed before it, or drop it."""
        name = str(event["event"])
        self._begin_second(int(time.monotonic()))
        self._counts[name] = self._counts.get(name, 0) + 1
        if self._counts[name] > MAX_LINES_PER_SECOND and name not in UNLIMITED_EVENTS:
            self._suppressed[name] = self._suppressed.get(name, 0) + 1
            raise structlog.DropEvent
        if name in self._suppressed:
            event["suppressed"] = self._suppressed.pop(name)
        return event

    def _begin_second(self, second: int) -> None:
        if second != self._second:
            self._second = second
            self._counts = {}


class StderrLogger:
    """Writes lines to standard error, and ignores errors: an unread log must not stop the gateway."""

    def msg(self, line: str) -> None:
        """Write one line and flush it."""
        try:
            sys.stderr.write(line + "\n")
            sys.stderr.flush()
        except (OSError, ValueError):
            pass

    debug = info = warning = error = critical = msg


def open_log(**fields: object) -> FilteringBoundLogger:
    """Return a logger that adds `fields` to each of its events."""
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
