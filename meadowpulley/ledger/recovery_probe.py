"""The write probe, by which a gateway detects that an unavailable ledger can be written again.

On a full or read-only disk reads still succeed, so a successful poll does not show that the ledger has
recovered. While the ledger is unavailable, each poll therefore also writes a frame as long as the one that
failed. A shorter frame would not do: one that is shorter than a block of the file system may still fit into
the last block of the log while a longer one finds no space.
"""

from __future__ import annotations

MIN_PROBE_BYTES = 4096
MAX_PROBE_BYTES = 1 << 16


class RecoveryProbe:
    """The size of the next probe frame in bytes, and the earliest time of the next probe (ms)."""

    def __init__(self, interval_ms: float) -> None:
        self.size_bytes = MIN_PROBE_BYTES
        self._interval_ms = interval_ms
        self._next_at = 0.0

    def reset(self) -> None:
        """Reset the size and the time of the next probe, since the ledger has recovered."""
        self.size_bytes = MIN_PROBE_BYTES
        self._next_at = 0.0

    def record_failed_write(self, size_bytes: int) -> None:
        """Make the probe frame at least as long as a batch that could not be written, up to the maximum."""
        self.size_bytes = max(self.size_bytes, min(size_bytes, MAX_PROBE_BYTES))

    def is_due(self, now: float) -> bool:
        """Return whether it is time for the next probe.

        Probes are less frequent than ordinary polls: if a disk accepts a frame but can't sync it, every probe
        makes the log longer.
        """
        return now >= self._next_at

    def record_start(self, started_at: float) -> None:
        """Record that a probe was started; the next one is due one interval later."""
        self._next_at = started_at + self._interval_ms
