"""The gateway's log: one line of JSON an event on standard error, few enough that it cannot slow service."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any

import structlog
from structlog.typing import EventDict, FilteringBoundLogger, WrappedLogger

MAX_LINES_PER_SECOND = (
    20  # of one event name; what is passed over is counted in the next line that is written
)
UNLIMITED_EVENTS = ("story",)  # asked for line by line: none of it is passed over


class EventRateLimiter:
    """Drops an event that comes too often, so that bad input cannot fill the log."""

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
            event["passed_over"] = self._suppressed.pop(name)
        return event


class StderrLogger:
    """Writes lines; a log that nobody reads any more must not end the gateway."""

    def msg(self, line: str) -> None:
        try:
            sys.stderr.write(line + "\n")
            sys.stderr.flush()
        except (OSError, ValueError):
            pass

    debug = info = warning = error = critical = msg


def open_log(**fields: Any) -> FilteringBoundLogger:
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
