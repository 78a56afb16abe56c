"""Requests in flight at a simulated gateway, and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from meadowpulley.emulator.clients import ClientRequest
from meadowpulley.emulator.machine import Job
from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, Result
from meadowpulley.rules import STATE_NAMES, EndpointListed

if TYPE_CHECKING:
    from meadowpulley.emulator.simulated_server import SimulatedServer

NOT_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
CONNECTION_REUSABLE = (
    Result.OK,
    Result.ERROR,
    Result.REJECTED,
)  # results after which the connection can be reused


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


def endpoint_records(
    now: float, gateway: int, known_servers: set[int], event: EndpointUpdate
) -> list[EndpointListed]:
    """Return the trace records of an endpoint update and bring `known_servers` up to date with it."""
    listed, records = {e.server for e in event.entries}, list[EndpointListed]()
    if event.kind is not EndpointUpdateKind.INCREMENTAL:
        records = [
            EndpointListed(now, gateway, server, "gone", 0) for server in sorted(known_servers - listed)
        ]
        known_servers.clear()
    known_servers |= listed
    records += [
        EndpointListed(now, gateway, e.server, STATE_NAMES[e.state], e.build, e.cell, e.zone)
        for e in event.entries
    ]
    return records
