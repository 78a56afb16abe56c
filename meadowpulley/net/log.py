"""The gateway's log: writes events to standard error as rate-limited lines of JSON."""

from __future__ import annotations

import json
import logging
import os
import stat
import sys
import time

import structlog
from structlog.typing import EventDict, FilteringBoundLogger, WrappedLogger

UNEXPECTED_EXCEPTION_EVENT = "unexpected_exception"  # logged for a caught bug; the gateway goes on
MAX_LINES_PER_SECOND = 20  # lines per event name; the next line written says how many were suppressed
LOG_LINES_DROPPED_EVENT = "log_lines_dropped"
STDERR_DESCRIPTOR = 2
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
    """Writes lines to standard error without waiting, so that an unread log doesn't stop the gateway.

    Lines that a full pipe doesn't take are dropped; the next line that it takes says how many.
    """

    def __init__(self) -> None:
        """Open standard error for writing without waiting."""
        self._descriptor = _open_stderr()
        self._dropped_lines = 0
        self._is_line_open = False  # whether only a part of the last line was written

    def msg(self, line: str) -> None:
        """Write one line, or drop it."""
        if self._dropped_lines:
            line = json.dumps({"event": LOG_LINES_DROPPED_EVENT, "lines": self._dropped_lines}) + "\n" + line
        data = ("\n" * self._is_line_open + line + "\n").encode()
        try:
            written_bytes = os.write(self._descriptor, data)
        except OSError:
            self._dropped_lines += 1
            return
        self._is_line_open = written_bytes < len(data)
        self._dropped_lines = int(self._is_line_open)

    debug = info = warning = error = critical = msg


def _open_stderr() -> int:
    """Return a descriptor of standard error that doesn't block if it is a pipe.

    The pipe is opened again, since the flag would else hold for all processes that share the descriptor.
    """
    descriptor = sys.__stderr__.fileno() if sys.__stderr__ is not None else STDERR_DESCRIPTOR
    try:
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        pass
    return descriptor


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
