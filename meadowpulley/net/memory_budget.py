"""Memory budget of the process: what the buffers hold that peers can fill.

Everything that a peer can fill is charged here:

- by `Connection`: the capacity of both ring buffers and the parser's part of a message, after each read and
  write, and released when the connection has ended;
- by `RequestTable`: an accepted request with its body, which retries need, until its slot is freed.

Tables and queues whose entries are limited by the number of sockets or by a maximum of their own are no part
of the budget; `FIXED_BYTES` and `BYTES_PER_CONNECTION` allow for them.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import Enum
from pathlib import Path

BYTES_PER_MB = 1_000_000
# Memory besides the budget that grows after the start: tables, estimates and what the allocator keeps.
FIXED_BYTES = 2_500_000
BYTES_PER_CONNECTION = 3_000  # the objects of an open connection, and a small request on it
# The part of the remaining memory that may be charged; the rest is for copies while a message is sent.
CHARGED_FRACTION = 0.75
MIN_BUDGET_BYTES = 1_000_000
# New large requests are accepted up to this part of the budget; the rest is for responses.
ADMISSION_FRACTION = 0.75
LOW_WATERMARK_FRACTION = 0.6  # load is shed until this part of the budget is left in use
_SMAPS_ROLLUP = Path("/proc/self/smaps_rollup")
_KIB = 1024


class MemoryUse(Enum):
    """What an account is charged for; the value is its name in logs and metrics."""

    CLIENT = "clients"
    INSTANCE = "instances"
    REQUEST = "requests"


class MemoryAccount:
    """The charge of one connection or request."""

    __slots__ = ("_budget", "_use", "charged_bytes")

    def __init__(self, budget: MemoryBudget, use: MemoryUse) -> None:
        self._budget = budget
        self._use = use
        self.charged_bytes = 0

    def charge(self, size: int) -> None:
        """Replace the charge by `size` bytes."""
        if size != self.charged_bytes:
            self._budget.change(self._use, size - self.charged_bytes)
            self.charged_bytes = size

    def relieve(self) -> bool:
        """Shed load if the budget is exceeded. Return whether the charges are within the limit now."""
        return self._budget.relieve()


class MemoryBudget:
    """The sum of all charges, in bytes, and its limit.

    `shed_load` is called with a number of bytes while the limit is exceeded, and releases charges until no
    more than that is in use, as far as it can.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        self.shed_load: Callable[[float], None] = lambda _: None
        self.used_by: dict[MemoryUse, int] = dict.fromkeys(MemoryUse, 0)

    def open_account(self, use: MemoryUse) -> MemoryAccount:
        """Return an account without a charge."""
        return MemoryAccount(self, use)

    def change(self, use: MemoryUse, difference: int) -> None:
        """Add the difference of a charge; only accounts call this."""
        self.used_by[use] += difference
        self.used_bytes += difference
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    @property
    def is_exceeded(self) -> bool:
        """Whether more is charged than the limit."""
        return self.used_bytes > self.limit_bytes

    def relieve(self) -> bool:
        """Shed load if the limit is exceeded. Return whether the charges are within the limit now."""
        if self.is_exceeded:
            self.shed_load(self._low_watermark)
        return not self.is_exceeded

    @property
    def _low_watermark(self) -> float:
        return self.limit_bytes * LOW_WATERMARK_FRACTION

    def make_room_for(self, size: int) -> bool:
        """Return whether a request of `size` bytes may be accepted, if need be after shedding load."""
        highest_use = self.limit_bytes * ADMISSION_FRACTION - size
        if self.used_bytes > highest_use:
            self.shed_load(min(highest_use, self._low_watermark))
        return self.used_bytes <= highest_use


def budget_bytes(memory_mb: float, max_connections: int) -> int:
    """Return the budget of a process that may use `memory_mb` (10^6 bytes) and has started completely.

    The resident memory of this process is taken off, or its anonymous memory alone where the limit leaves no
    room otherwise: the files that a process maps may be charged to others.
    """
    reserved = FIXED_BYTES + BYTES_PER_CONNECTION * max_connections
    resident, anonymous = _own_memory()
    for in_use in (resident, anonymous):
        budget = int((memory_mb * BYTES_PER_MB - in_use - reserved) * CHARGED_FRACTION)
        if budget >= MIN_BUDGET_BYTES:
            return budget
    return MIN_BUDGET_BYTES


def _own_memory() -> tuple[int, int]:
    """Return the resident and the anonymous memory of this process in bytes; 0 if the kernel doesn't tell."""
    try:
        text = _SMAPS_ROLLUP.read_text()
    except OSError:
        return 0, 0
    resident, anonymous = (
        re.search(rf"^{name}:\s+(\d+) kB", text, re.MULTILINE) for name in ("Rss", "Anonymous")
    )
    if resident is None or anonymous is None:
        return 0, 0
    return int(resident[1]) * _KIB, int(anonymous[1]) * _KIB
