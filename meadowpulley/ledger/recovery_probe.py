"""How a gateway finds that an unavailable ledger can be written again.

On a full or read-only disk all reads succeed, so a poll proves nothing by itself. While the ledger is
unavailable a poll goes together with a write of a frame as long as the one that failed: a frame shorter than
a block of the file system may still fit the log's last block, and a longer one find no room.
"""

from __future__ import annotations

MIN_PROBE_BYTES = 4096
MAX_PROBE_BYTES = 1 << 16


class RecoveryProbe:
    """The length of the frame to write, and when to write it next (ms)."""

    def __init__(self, interval_ms: float) -> None:
        self.size_bytes = MIN_PROBE_BYTES
        self._interval_ms = interval_ms
        self._next_at = 0.0

    def reset(self) -> None:
        """Forget the failures, since the ledger has recovered."""
        self.size_bytes = MIN_PROBE_BYTES
        self._next_at = 0.0

    def record_failed_write(self, size_bytes: int) -> None:
        """Make the frame as long as a batch that could not be written, within limits."""
        self.size_bytes = max(self.size_bytes, min(size_bytes, MAX_PROBE_BYTES))

    def is_due(self, now: float) -> bool:
        """Return whether it is time to write a frame.

        It is not at every poll: a disk that takes a frame and can't make it durable grows the log by it.
        """
        return now >= self._next_at

    def record_start(self, started_at: float) -> None:
        """Record that a frame is being written."""
        self._next_at = started_at + self._interval_ms
