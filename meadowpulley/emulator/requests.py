"""Requests in flight at a simulated gateway, and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from meadowpulley.emulator.client_calls import ClientRequest
from meadowpulley.emulator.machine import Job
from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, Result
from meadowpulley.rules import STATE_NAMES, EndpointListed

if TYPE_CHECKING:
    from meadowpulley.emulator.simulated_server import SimulatedServer

NOT_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
# Results after which the connection can be reused.
CONNECTION_REUSABLE = (Result.OK, Result.ERROR, Result.REJECTED)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from sending it to its single outcome."""

    request: InFlightRequest
    number: int
    server: SimulatedServer | None
    sent_at: float
    deadline: float
    ended: bool = False
    connected: bool = False  # holds a connection
    job: Job | None = None


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """An entry of a gateway's request table."""

    client_request: ClientRequest
    deadline: float
    attempt_count: int = 0
    response_ready: bool = False  # the stages have a good response and decide when to deliver it
    finished: bool = False  # has its final response; attempts may still be outstanding
    outstanding_attempts: dict[int, Attempt] = field(default_factory=dict)

    @property
    def abandoned_by_client(self) -> bool:
        """Whether the client disconnected or gave up before the final response."""
        return not self.finished and self.client_request.answered


def endpoint_records(
    now: float, gateway: int, known_servers: set[int], event: EndpointUpdate
) -> list[EndpointListed]:
    """Return the trace records of an endpoint update and bring `known_servers` up to date with it."""
    listed = {entry.server for entry in event.entries}
    records: list[EndpointListed] = []
    if event.kind is not EndpointUpdateKind.INCREMENTAL:
        records = [
            EndpointListed(now, gateway, server, "gone", 0) for server in sorted(known_servers - listed)
        ]
        known_servers.clear()
    known_servers |= listed
    records += [
        EndpointListed(
            now, gateway, entry.server, STATE_NAMES[entry.state], entry.build, entry.cell, entry.zone
        )
        for entry in event.entries
    ]
    return records
