"""Failpoints: named places at which a test lets a process die, stop or fail.

Where none is set, each costs one call of an empty function. For example,
`MEADOWPULLEY_FAILPOINTS="log.appended=kill@3,renew.renamed=stop"`: the process kills itself at the third
append to the log, and stops itself at its first renewal. `call=error@50+` makes every call fail from the
fiftieth on; `call=slow@50` makes the fiftieth take so long that a gateway counts the ledger as unavailable.
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
SLOW_CALL_S = 2.0
FailpointHook: TypeAlias = Callable[[str], None]


def no_failpoint(name: str) -> None:
    """Do nothing: the hook of a process without failpoints."""


def _raise_os_error(code: int) -> None:
    """Fail as the kernel does."""
    raise OSError(code, os.strerror(code))


ACTIONS: dict[str, Callable[[], None]] = {
    "kill": lambda: os.kill(os.getpid(), signal.SIGKILL),
    # Sent to this thread: another thread might take a signal to the process, and this one run on.
    "stop": lambda: signal.pthread_kill(threading.get_ident(), signal.SIGSTOP),
    "full": lambda: _raise_os_error(errno.ENOSPC),
    "error": lambda: _raise_os_error(errno.EIO),
    "slow": lambda: time.sleep(SLOW_CALL_S),
}


@dataclass(slots=True)
class _Trigger:
    """When a failpoint acts, and how often it was hit."""

    action: Callable[[], None]
    count: int
    repeats: bool  # from `count` on, not only then
    hit_count: int = 0

    def hit(self) -> None:
        """Count one hit, and act if it is due."""
        self.hit_count += 1
        if self.hit_count == self.count or (self.repeats and self.hit_count > self.count):
            self.action()


def _parse_trigger(part: str) -> tuple[str, _Trigger]:
    """Return the name and the trigger of one failpoint, written `NAME=ACTION@COUNT`."""
    name, _, definition = part.strip().partition("=")
    action, _, count = definition.partition("@")
    repeats = count.endswith("+")
    count = count.removesuffix("+") or "1"
    if name not in FAILPOINT_NAMES or action not in ACTIONS or not count.isdecimal():
        known = ", ".join(FAILPOINT_NAMES)
        raise FailpointSyntaxError(
            f"{FAILPOINTS_VARIABLE}: '{part}': write STEP=ACTION@COUNT with one of {known}"
        )
    return name, _Trigger(ACTIONS[action], int(count), repeats)


def parse_failpoints(text: str) -> FailpointHook:
    """Return the hook for a list of failpoints.

    Raises:
        FailpointSyntaxError: the text names an unknown place or action.
    """
    if not text:
        return no_failpoint
    triggers = dict(_parse_trigger(part) for part in text.split(","))

    def hit(name: str) -> None:
        """Act as the failpoint of that name says."""
        if name in triggers:
            triggers[name].hit()

    return hit
