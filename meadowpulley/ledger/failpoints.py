"""Named steps at which a test lets a process die, stop or fail. Nothing but a call to nothing where none is
set.

`MEADOWPULLEY_FAILPOINTS="log.appended=kill@3,renew.renamed=stop"`: at the third time that the log was
appended to, the process kills itself; at the first renewal it stops itself. `call=error@50+` cuts it off
from the fiftieth call on, `call=slow@50` makes one take so long that a gateway gives the ledger up.
"""

from __future__ import annotations

import errno
import os
import signal
import threading
import time
from collections.abc import Callable

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
FailpointHook = Callable[[str], None]


def no_failpoint(name: str) -> None:
    """The failpoint of a process that has none."""


def _raise_os_error(code: int) -> None:
    raise OSError(code, os.strerror(code))


ACTIONS: dict[str, Callable[[], None]] = {
    "kill": lambda: os.kill(os.getpid(), signal.SIGKILL),
    # To this thread: sent to the process another one may take it, and this one get a step further.
    "stop": lambda: signal.pthread_kill(threading.get_ident(), signal.SIGSTOP),
    "full": lambda: _raise_os_error(errno.ENOSPC),
    "error": lambda: _raise_os_error(errno.EIO),
    "slow": lambda: time.sleep(SLOW_CALL_S),
}


def parse_failpoints(text: str) -> FailpointHook:
    """Raises ValueError where the text names no step or nothing that can be done there."""
    if not text:
        return no_failpoint
    triggers: dict[str, tuple[str, int, bool]] = {}
    for part in text.split(","):
        name, _, definition = part.strip().partition("=")
        action, _, count = definition.partition("@")
        repeats = count.endswith("+")
        count = count.removesuffix("+") or "1"
        if name not in FAILPOINT_NAMES or action not in ACTIONS or not count.isdecimal():
            known = ", ".join(FAILPOINT_NAMES)
            raise ValueError(f"{FAILPOINTS_VARIABLE}: '{part}': write STEP=ACTION@COUNT with one of {known}")
        triggers[name] = (action, int(count), repeats)
    calls = dict.fromkeys(triggers, 0)

    def hit(name: str) -> None:
        if name in triggers:
            calls[name] += 1
            action, count, repeats = triggers[name]
            if calls[name] == count or (repeats and calls[name] > count):
                ACTIONS[action]()

    return hit
