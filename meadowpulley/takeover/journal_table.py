"""Holds the journaled requests of a gateway."""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowpulley.takeover.journaled_request import JournaledRequest


@dataclass(slots=True)
class JournalTable:
    """Indexes journaled requests by handle and by the request id that the client chose.

    `by_request` holds a request until the outcomes of all its attempts have arrived; `by_id` holds it while
    this gateway owns it.
    """

    by_request: dict[int, JournaledRequest] = field(default_factory=dict)
    by_id: dict[str, JournaledRequest] = field(default_factory=dict)

    def add(self, entry: JournaledRequest) -> None:
        """Add a request that this gateway now owns."""
        self.by_id[entry.request_id] = entry
        self.by_request[entry.request.request] = entry

    def owned(self) -> list[JournaledRequest]:
        """Return the requests that this gateway owns, in the order in which they were added."""
        return list(self.by_id.values())

    def adopted_count(self) -> int:
        """Return how many adopted requests are in flight."""
        return sum(entry.request.adopted and not entry.answered for entry in self.by_id.values())

    def relinquish(self, entry: JournaledRequest) -> None:
        """Mark a request as no longer owned by this gateway."""
        entry.relinquished = True
        if self.by_id.get(entry.request_id) is entry:
            del self.by_id[entry.request_id]
        self.forget_if_settled(entry)

    def forget_if_settled(self, entry: JournaledRequest) -> None:
        """Remove a request that is no longer owned and has no outstanding or unsent attempts."""
        if entry.relinquished and not entry.outstanding_attempts and not entry.pending_sends:
            self.by_request.pop(entry.request.request, None)
