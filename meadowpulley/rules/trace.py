"""Trace records of a run: one record per event, in order, encoded as JSON lines.

`at` is the time in milliseconds on the run's clock. Gateways, servers and classes are given by their
indexes; request numbers are unique within a gateway incarnation. The encoded names are a stored format, so
they stay when a class is renamed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Literal, TypeAlias

import msgspec
from msgspec import Struct, field

from meadowpulley.interface import Phase, ServerState
from meadowpulley.rules.errors import TraceFormatError

StateName: TypeAlias = Literal["ready", "draining", "gone"]
PhaseName: TypeAlias = Literal["trial", "going_back", "released", "withdrawn"]
# Names of states and phases in stored traces. The names stay when members of the enums are renamed.
STATE_NAMES: dict[ServerState, StateName] = {
    ServerState.READY: "ready",
    ServerState.DRAINING: "draining",
    ServerState.REMOVED: "gone",
}
PHASE_NAMES: dict[Phase, PhaseName] = {
    Phase.TRIAL: "trial",
    Phase.ROLLING_BACK: "going_back",
    Phase.RELEASED: "released",
    Phase.ROLLED_BACK: "withdrawn",
}


class GatewayStarted(Struct, frozen=True, tag="started"):
    """A gateway started a new incarnation."""

    at: float
    gateway: int


class GatewayCrashed(Struct, frozen=True, tag="died"):
    """A gateway crashed; its open requests no longer require a response from it."""

    at: float
    gateway: int


class GatewayPaused(Struct, frozen=True, tag="stopped"):
    """A gateway was suspended, for example by SIGSTOP; it cannot meet deadlines until it resumes."""

    at: float
    gateway: int


class GatewayResumed(Struct, frozen=True, tag="woke"):
    """A suspended gateway continues; it learns late of events that happened during the pause."""

    at: float
    gateway: int


class RequestReceived(Struct, frozen=True, tag="taken", omit_defaults=True):
    """A gateway received a complete request."""

    at: float
    gateway: int
    request: int
    class_index: int = field(name="cls")
    key: int
    deadline: float  # when the client stops waiting (ms)
    # The client's id for the request, which all its client retries share; empty without shared state.
    request_id: str = field(default="", name="id")


class AttemptSent(Struct, frozen=True, tag="sent"):
    """A gateway sent an attempt; `build` is the build that was last listed for the server."""

    at: float
    gateway: int
    request: int
    attempt: int
    server: int
    build: int


class AttemptEnded(Struct, frozen=True, tag="outcome"):
    """An attempt ended; `executed` is False only if the server is known not to have executed it."""

    at: float
    gateway: int
    request: int
    attempt: int
    executed: bool = field(name="ran")


class ResponseSent(Struct, frozen=True, tag="answered", omit_defaults=True):
    """A gateway sent the final response to a request."""

    at: float
    gateway: int
    request: int
    response: Literal["served", "refused", "failed"] = field(name="answer")
    content: str = ""  # identifies a served response; different responses have different values


class RequestAbandoned(Struct, frozen=True, tag="gone"):
    """A request ended without a response, because its client had disconnected."""

    at: float
    gateway: int
    request: int


class EndpointListed(Struct, frozen=True, tag="listed"):
    """A gateway learned a server's state, which is `gone` also if a full list omits the server."""

    at: float
    gateway: int
    server: int
    state: StateName
    build: int
    cell: int = 0
    site: int = 0


class RolloutUpdated(Struct, frozen=True, tag="news"):
    """A gateway learned the state of the newest build."""

    at: float
    gateway: int
    build: int
    stage: int
    phase: PhaseName
    cap: float


class KeyAnswered(Struct, frozen=True, tag="key_answered"):
    """A server that runs `build` answered a request with this key through this gateway."""

    at: float
    gateway: int
    key: int
    build: int


class InstanceOverloaded(Struct, frozen=True, tag="fell"):
    """A server in slow start was overloaded and went down."""

    at: float
    server: int


# Records for gateways that share state


class ClientDetached(Struct, frozen=True, tag="left"):
    """The client of a request disconnected; the request continues, but needs no response."""

    at: float
    gateway: int
    request: int


class GatewayFenced(Struct, frozen=True, tag="sealed"):
    """The ledger fenced the gateway's incarnation, even if its process is still running."""

    at: float
    gateway: int


class RequestRecorded(Struct, frozen=True, tag="written"):
    """The ledger recorded a client's request, which must end even if this gateway fails."""

    at: float
    gateway: int
    request_id: str = field(name="id")
    deadline: float


class RequestClaimed(Struct, frozen=True, tag="claimed"):
    """A gateway claimed another gateway's request; `incarnations` counts all owners, also the new one."""

    at: float
    gateway: int
    request_id: str = field(name="id")
    incarnations: int = field(name="lives")


class RequestReleased(Struct, frozen=True, tag="given"):
    """The gateway that owned a request released the request."""

    at: float
    gateway: int
    request_id: str = field(name="id")


class RequestClosed(Struct, frozen=True, tag="closed"):
    """The ledger recorded the outcome of a request."""

    at: float
    gateway: int
    request_id: str = field(name="id")
    outcome: Literal["served", "refused", "failed"] = field(name="end")


class AdoptionStarted(Struct, frozen=True, tag="adopted"):
    """A gateway started an adopted request, under a new request number and without a client."""

    at: float
    gateway: int
    request: int
    class_index: int = field(name="cls")
    key: int
    deadline: float
    request_id: str = field(name="id")


class CapacityUsed(Struct, frozen=True, tag="admitted"):
    """A gateway admitted requests that use units of the capacity shared by tenants."""

    at: float
    gateway: int
    units: float


class OutcomeCounted(Struct, frozen=True, tag="counted"):
    """An experiment counted the outcome of a request; `request_id` is that of its first gateway."""

    at: float
    gateway: int
    experiment: str
    request_id: str = field(name="id")
    arm: int


Record: TypeAlias = (
    GatewayStarted
    | GatewayCrashed
    | GatewayPaused
    | GatewayResumed
    | RequestReceived
    | AttemptSent
    | AttemptEnded
    | ResponseSent
    | RequestAbandoned
    | EndpointListed
    | RolloutUpdated
    | KeyAnswered
    | InstanceOverloaded
    | ClientDetached
    | GatewayFenced
    | RequestRecorded
    | RequestClaimed
    | RequestReleased
    | RequestClosed
    | AdoptionStarted
    | CapacityUsed
    | OutcomeCounted
)
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(Record).decode


def trace_line(record: Record) -> bytes:
    """Encode one record as a JSON line without the trailing newline."""
    return _encode(record)


def read_trace(lines: Iterable[bytes], file_name: str) -> Iterator[Record]:
    """Decode the records of a trace file.

    Raises:
        TraceFormatError: a line cannot be decoded as a record; the text names the first such line.
    """
    for number, line in enumerate(lines, 1):
        try:
            yield _decode(line)
        except msgspec.MsgspecError as error:
            raise TraceFormatError(f"{file_name}: line {number}: {error}") from None
