"""What a gateway of the emulated fleet holds: requests, and their attempts on the way."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from meadowpulley.emulator.clients import ClientRequest
from meadowpulley.emulator.machine import Job
from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, Result
from meadowpulley.rules import STATE_NAMES, EndpointListed

if TYPE_CHECKING:
    from meadowpulley.emulator.server_fleet import SimulatedServer

NOT_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
CONNECTION_REUSABLE = (Result.OK, Result.ERROR, Result.REJECTED)  # the connection is good for more


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from its sending to its one outcome."""

    request: InFlightRequest
    number: int
    server: SimulatedServer | None
    sent_at: float
    deadline: float
    ended: bool = False
    connected: bool = False  # it holds a connection
    job: Job | None = None


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request in this gateway's table."""

    client_request: ClientRequest
    deadline: float
    attempt_count: int = 0
    response_ready: bool = False  # a good answer has come, and the stages round the decisions have it
    finished: bool = False  # it has its final answer; attempts may still be out
    outstanding_attempts: dict[int, Attempt] = field(default_factory=dict)


def endpoint_records(
    now: float, gateway: int, known_servers: set[int], event: EndpointUpdate
) -> list[EndpointListed]:
    """What a gateway learns by a list, and `known` brought up to it: a whole one lacks what is gone."""
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
