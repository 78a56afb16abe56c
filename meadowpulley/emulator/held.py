"""What a gateway of the emulated fleet holds: requests, and their attempts on the way."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal

from meadowpulley.emulator.clients import Try
from meadowpulley.emulator.machine import Job
from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, Result, ServerState
from meadowpulley.rules import Listed

if TYPE_CHECKING:
    from meadowpulley.emulator.park import Host

NEVER_RAN = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
_STATES: dict[ServerState, Literal["ready", "draining", "gone"]] = {
    ServerState.READY: "ready",
    ServerState.DRAINING: "draining",
    ServerState.REMOVED: "gone",
}
KEPT = (Result.OK, Result.ERROR, Result.REJECTED)  # the connection is good for more


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from its sending to its one outcome."""

    held: Held
    n: int
    host: Host | None
    sent: float
    until: float
    ended: bool = False
    connected: bool = False  # it holds a connection
    job: Job | None = None


@dataclass(slots=True, eq=False)
class Held:
    """A request in this gateway's table."""

    request: Try
    deadline: float
    tries: int = 0
    ready: bool = False  # a good answer has come, and the stages round the decisions have it
    over: bool = False  # it has its final answer; attempts may still be out
    out: dict[int, Attempt] = field(default_factory=dict)


def list_records(now: float, gateway: int, known: set[int], event: EndpointUpdate) -> list[Listed]:
    """What a gateway learns by a list, and `known` brought up to it: a whole one lacks what is gone."""
    named, found = {e.server for e in event.entries}, list[Listed]()
    if event.kind is not EndpointUpdateKind.INCREMENTAL:
        found = [Listed(now, gateway, server, "gone", 0) for server in sorted(known - named)]
        known.clear()
    known |= named
    found += [
        Listed(now, gateway, e.server, _STATES[e.state], e.build, e.cell, e.zone) for e in event.entries
    ]
    return found
