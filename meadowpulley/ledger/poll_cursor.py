"""What the next poll of the ledger reads: from which version, which keys, and which members."""

from __future__ import annotations

from collections.abc import Callable

from meadowpulley.ledger.background_jobs import PollRequest


class PollCursor:
    """The state between two polls.

    `get_prefixes` returns the prefixes of the keys that the stages watch now; when they change, the next poll
    reads a snapshot.
    """

    def __init__(self) -> None:
        self.get_prefixes: Callable[[], tuple[str, ...]] = tuple
        self.version = 0  # of the ledger, up to which its changes were dispatched
        self.watched_names: tuple[str, ...] | None = ()
        self._prefixes: tuple[str, ...] = ()

    def refresh_prefixes(self) -> None:
        """Ask for the prefixes anew."""
        prefixes = self.get_prefixes()
        if prefixes != self._prefixes:
            self._prefixes = prefixes
            self.version = 0

    def request(self) -> PollRequest:
        """Return what a poll reads now."""
        return PollRequest(self.version, self._prefixes, self.watched_names)
