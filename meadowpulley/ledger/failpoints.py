"""Failpoints: named places in the code at which a test makes a process kill or stop itself, or fail.

If no failpoint is set, each place costs one call of an empty function. With
`MEADOWPULLEY_FAILPOINTS="log.appended=kill@3,renew.renamed=stop"`, for example, the process kills itself at
its third append to the log, and stops itself at its first renewal. `call=error@50+` makes every call to the
store fail from the fiftieth on. `call=slow@50` delays the fiftieth call long enough that the gateway counts
the ledger as unavailable.
"""

from __future__ import annotations

import errno
import os
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.ledger.errors import FailpointSyntaxError

FAILPOINTS_VARIABLE = "MEADOWPULLEY_FAILPOINTS"
FAILPOINT_NAMES = (
    "call",
    "begin.locked",
    "begin.begun",
    "renew.renamed",
    "seal.renamed",
    "log.append",
    "log.appended",
    "log.synced",
    "log.read",
    "roll.ended",
    "roll.written",
    "roll.linked",
    "roll.opened",
)
SLOW_CALL_S = 2.0  # seconds by which the action `slow` delays a call
FailpointHook: TypeAlias = Callable[[str], None]


def no_failpoint(name: str) -> None:
    """Do nothing; this is the hook of a process without failpoints."""


def _raise_os_error(code: int) -> None:
    """Raise the `OSError` that a failed system call raises with that error code."""
    raise OSError(code, os.strerror(code))


ACTIONS: dict[str, Callable[[], None]] = {
    "kill": lambda: os.kill(os.getpid(), signal.SIGKILL),
    # Send the signal to this thread: if another thread received it, this one could run past the failpoint.
    "stop": lambda: signal.pthread_kill(threading.get_ident(), signal.SIGSTOP),
    "full": lambda: _raise_os_error(errno.ENOSPC),
    "error": lambda: _raise_os_error(errno.EIO),
    "slow": lambda: time.sleep(SLOW_CALL_S),
}


@dataclass(slots=True)
class _Trigger:
    """The action of a failpoint, the hit at which it runs, and the number of hits so far."""

    action: Callable[[], None]
    count: int
    repeats: bool  # whether the action runs at every hit from `count` on, or only at hit `count`
    hit_count: int = 0

    def hit(self) -> None:
        """Count one hit, and run the action if it is due at this hit."""
        self.hit_count += 1
        if self.hit_count == self.count or (self.repeats and self.hit_count > self.count):
            self.action()


def _parse_trigger(part: str) -> tuple[str, _Trigger]:
    """Parse one failpoint, `NAME=ACTION` or `NAME=ACTION@COUNT`; return its name and its trigger."""
    name, _, definition = part.strip().partition("=")
    action, _, count = definition.partition("@")
    repeats = count.endswith("+")
    count = count.removesuffix("+") or "1"
    if name not in FAILPOINT_NAMES or action not in ACTIONS or not count.isdecimal():
        known = ", ".join(FAILPOINT_NAMES)
        raise FailpointSyntaxError(
            f"{FAILPOINTS_VARIABLE}: '{part}': write NAME=ACTION@COUNT with NAME being one of {known}"
        )
    return name, _Trigger(ACTIONS[action], int(count), repeats)


def parse_failpoints(text: str) -> FailpointHook:
    """Return the hook for a comma-separated list of failpoints.

    Raises:
        FailpointSyntaxError: the text has invalid syntax, or names an unknown failpoint or action.
    """
    if not text:
        return no_failpoint
    triggers = dict(_parse_trigger(part) for part in text.split(","))

    def hit(name: str) -> None:
        """Count a hit of the failpoint `name`, if it is set."""
        if name in triggers:
            triggers[name].hit()

    return hit
