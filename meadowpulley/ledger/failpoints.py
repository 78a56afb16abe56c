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

ENV = "MEADOWPULLEY_FAILPOINTS"
NAMES = (
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
SLOW_S = 2.0
Fail = Callable[[str], None]


def nothing(name: str) -> None:
    """The failpoint of a process that has none."""


def _error(code: int) -> None:
    raise OSError(code, os.strerror(code))


ACTIONS: dict[str, Callable[[], None]] = {
    "kill": lambda: os.kill(os.getpid(), signal.SIGKILL),
    # To this thread: sent to the process another one may take it, and this one get a step further.
    "stop": lambda: signal.pthread_kill(threading.get_ident(), signal.SIGSTOP),
    "full": lambda: _error(errno.ENOSPC),
    "error": lambda: _error(errno.EIO),
    "slow": lambda: time.sleep(SLOW_S),
}


def failpoints(text: str) -> Fail:
    """Raises ValueError where the text names no step or nothing that can be done there."""
    if not text:
        return nothing
    plan: dict[str, tuple[str, int, bool]] = {}
    for part in text.split(","):
        name, _, rest = part.strip().partition("=")
        action, _, count = rest.partition("@")
        on = count.endswith("+")
        count = count.removesuffix("+") or "1"
        if name not in NAMES or action not in ACTIONS or not count.isdecimal():
            raise ValueError(f"{ENV}: '{part}': write STEP=ACTION@COUNT with one of {', '.join(NAMES)}")
        plan[name] = (action, int(count), on)
    seen = dict.fromkeys(plan, 0)

    def fail(name: str) -> None:
        if name in plan:
            seen[name] += 1
            action, count, on = plan[name]
            if seen[name] == count or (on and seen[name] > count):
                ACTIONS[action]()

    return fail
