"""The locations of servers, as grants record them for the server of an attempt."""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, ServerEntry, ServerState
from meadowpulley.takeover.records import AttemptGrant

FULL_LIST_KINDS = (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED)


@dataclass(slots=True)
class ServerLocations:
    """Maps server numbers to the entries of the endpoint list."""

    servers: dict[int, ServerEntry] = field(default_factory=dict)

    def apply(self, update: EndpointUpdate) -> None:
        """Apply an endpoint list update; a full or cached list replaces all known servers."""
        if update.kind in FULL_LIST_KINDS:
            self.servers.clear()
        for entry in update.entries:
            self.servers[entry.server] = entry
        for entry in update.entries:
            if entry.state is ServerState.REMOVED:
                del self.servers[entry.server]

    def grant_for(self, server: int) -> AttemptGrant:
        """Return the grant of an attempt at this server.

        For an unknown server, the build, zone and cell are 0, which means that none is known.
        """
        entry = self.servers.get(server)
        if entry is None:
            return AttemptGrant(server, build=0, zone=0, cell=0)
        return AttemptGrant(server, entry.build, entry.zone, entry.cell)
