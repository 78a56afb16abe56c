"""Where servers stand: what a grant says of the server that its attempt goes to."""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, ServerEntry, ServerState
from meadowpulley.takeover.records import AttemptGrant

FULL_LIST_KINDS = (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED)


@dataclass(slots=True)
class ServerLocations:
    """The servers of the endpoint list, by their numbers."""

    servers: dict[int, ServerEntry] = field(default_factory=dict)

    def apply(self, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list."""
        if update.kind in FULL_LIST_KINDS:
            self.servers.clear()
        for entry in update.entries:
            self.servers[entry.server] = entry
        for entry in update.entries:
            if entry.state is ServerState.REMOVED:
                del self.servers[entry.server]

    def grant_for(self, server: int) -> AttemptGrant:
        """Return the grant of an attempt at this server; one of an unknown server names no location."""
        entry = self.servers.get(server)
        if entry is None:
            return AttemptGrant(server, build=0, zone=0, cell=0)
        return AttemptGrant(server, entry.build, entry.zone, entry.cell)
