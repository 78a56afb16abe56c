"""The parameters of the next poll of the ledger: the version to read from, the keys and the members."""

from __future__ import annotations

from collections.abc import Callable

from meadowpulley.ledger.background_jobs import PollRequest


class PollCursor:
    """The state that is kept between two polls.

    `get_prefixes` returns the key prefixes that the stages watch at present. When they change, the next poll
    reads a snapshot.
    """

    def __init__(self) -> None:
        self.get_prefixes: Callable[[], tuple[str, ...]] = tuple
        self.version = 0  # the version of the ledger up to which changes were dispatched; 0: read a snapshot
        self.watched_names: tuple[str, ...] | None = ()
        self._prefixes: tuple[str, ...] = ()

    def refresh_prefixes(self) -> None:
        """Update the prefixes; if they changed, make the next poll read a snapshot."""
        prefixes = self.get_prefixes()
        if prefixes != self._prefixes:
            self._prefixes = prefixes
            self.version = 0

    def request(self) -> PollRequest:
        """Return the parameters for a poll that starts now."""
        return PollRequest(self.version, self._prefixes, self.watched_names)
