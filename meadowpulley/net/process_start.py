"""When this process started, by the kernel.

Discovery counts what it has to tell as notified from the start of a process, which is earlier than the first
line that the process runs: loading the program takes some hundred milliseconds, and more on busy cores.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

_PROCESS_STAT = Path("/proc/self/stat")
_UPTIME = Path("/proc/uptime")
# Place of `starttime` among the fields of /proc/self/stat after the command in parentheses; see proc(5).
_START_FIELD = 19
# The system's uptime and the monotonic clock count from the same moment unless the system was suspended, or
# the process runs on a clock of its own. They may differ by less than this where they agree.
_MAX_CLOCK_DIFFERENCE_S = 1.0
_MS_PER_S = 1000.0


def process_age_ms() -> float:
    """Return the time since this process started, or 0 if the kernel and the monotonic clock don't tell."""
    try:
        uptime_s = float(_UPTIME.read_text().split()[0])
        fields = _PROCESS_STAT.read_text().rpartition(")")[2].split()
        started_s = int(fields[_START_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return 0.0
    if abs(uptime_s - time.monotonic()) > _MAX_CLOCK_DIFFERENCE_S:
        return 0.0
    return max(uptime_s - started_s, 0.0) * _MS_PER_S
