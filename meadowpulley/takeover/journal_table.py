"""The table of the journaled requests of a gateway."""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowpulley.takeover.journaled_request import JournaledRequest


@dataclass(slots=True)
class JournalTable:
    """Journaled requests by their handles, and by the ids that clients gave them.

    `by_request` holds a request until the last outcome of its attempts, `by_id` while this gateway owns it.
    """

    by_request: dict[int, JournaledRequest] = field(default_factory=dict)
    by_id: dict[str, JournaledRequest] = field(default_factory=dict)

    def add(self, entry: JournaledRequest) -> None:
        """Add a request that this gateway owns from now on."""
        self.by_id[entry.request_id] = entry
        self.by_request[entry.request.request] = entry

    def owned(self) -> list[JournaledRequest]:
        """Return the requests that this gateway owns, in the order in which it began them."""
        return list(self.by_id.values())

    def adopted_count(self) -> int:
        """Return how many adopted requests are in flight."""
        return sum(entry.request.adopted and not entry.answered for entry in self.by_id.values())

    def relinquish(self, entry: JournaledRequest) -> None:
        """Note that this gateway no longer owns a request."""
        entry.relinquished = True
        if self.by_id.get(entry.request_id) is entry:
            del self.by_id[entry.request_id]
        self.forget_if_settled(entry)

    def forget_if_settled(self, entry: JournaledRequest) -> None:
        """Remove a request that is no longer owned once no outcome of its attempts can come."""
        if entry.relinquished and not entry.outstanding_attempts and not entry.pending_sends:
            self.by_request.pop(entry.request.request, None)
