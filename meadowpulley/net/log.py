"""The gateway's log: one line of JSON an event on standard error, few enough that it cannot slow service."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any

import structlog
from structlog.typing import EventDict, FilteringBoundLogger, WrappedLogger

LINES_PER_S = 20  # of one event name; what is passed over is counted in the next line that is written
WHOLE = ("story",)  # asked for line by line: none of it is passed over


class Limiter:
    """Drops an event that comes too often, so that bad input cannot fill the log."""

    def __init__(self) -> None:
        self._second = 0
        self._seen: dict[str, int] = {}
        self._passed_over: dict[str, int] = {}

    def __call__(self, _: WrappedLogger, __: str, event: EventDict) -> EventDict:
        name, second = str(event["event"]), int(time.monotonic())
        if second != self._second:
            self._second, self._seen = second, {}
        self._seen[name] = self._seen.get(name, 0) + 1
        if self._seen[name] > LINES_PER_S and name not in WHOLE:
            self._passed_over[name] = self._passed_over.get(name, 0) + 1
            raise structlog.DropEvent
        if name in self._passed_over:
            event["passed_over"] = self._passed_over.pop(name)
        return event


class Lines:
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
        Lines(),
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        processors=[
            structlog.processors.add_log_level,
            Limiter(),
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
    )
    return log.bind(**fields)
