"""What a rig writes down of a run: one record an event, in the order they happened, as JSON lines.

`at` is milliseconds on the one clock of the rig; gateways, servers and classes are numbers, requests are
numbers that never come twice at one gateway's life. Nothing here judges.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Literal, TypeAlias

import msgspec
from msgspec import Struct, field

from meadowpulley.interface import Phase, ServerState

StateName: TypeAlias = Literal["ready", "draining", "gone"]
PhaseName: TypeAlias = Literal["trial", "going_back", "released", "withdrawn"]
# Names in the trace format, which do not follow the names of the enums' members.
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
    """A gateway begins, knowing nothing."""

    at: float
    gateway: int


class GatewayCrashed(Struct, frozen=True, tag="died"):
    """A gateway was killed: what it held is no longer its duty."""

    at: float
    gateway: int


class GatewayPaused(Struct, frozen=True, tag="stopped"):
    """A gateway stands still, as a process under SIGSTOP: until it is woken it can keep no promise."""

    at: float
    gateway: int


class GatewayResumed(Struct, frozen=True, tag="woke"):
    """It goes on where it stood, and learns late what came meanwhile."""

    at: float
    gateway: int


class RequestReceived(Struct, frozen=True, tag="taken", omit_defaults=True):
    at: float
    gateway: int
    request: int
    class_index: int = field(name="cls")
    key: int
    deadline: float  # when the client stops waiting
    request_id: str = field(
        default="", name="id"
    )  # the client's, the same on each of its asks, where gateways stand in for each other


class AttemptSent(Struct, frozen=True, tag="sent"):
    """An attempt; `build` is the one that the list last named for the server."""

    at: float
    gateway: int
    request: int
    attempt: int
    server: int
    build: int


class AttemptEnded(Struct, frozen=True, tag="outcome"):
    """An attempt's end as its gateway learns it; `ran` False only where it is known never to have run."""

    at: float
    gateway: int
    request: int
    attempt: int
    executed: bool = field(name="ran")


class ResponseSent(Struct, frozen=True, tag="answered", omit_defaults=True):
    at: float
    gateway: int
    request: int
    response: Literal["served", "refused", "failed"] = field(name="answer")
    content: str = ""  # tells answers apart that were served


class RequestAbandoned(Struct, frozen=True, tag="gone"):
    """The client left before its answer."""

    at: float
    gateway: int
    request: int


class EndpointListed(Struct, frozen=True, tag="listed"):
    """A gateway was told of a server; state `gone` too when a whole list lacks it."""

    at: float
    gateway: int
    server: int
    state: StateName
    build: int
    cell: int = 0
    site: int = 0


class RolloutUpdated(Struct, frozen=True, tag="news"):
    """A gateway was told where the newest build stands."""

    at: float
    gateway: int
    build: int
    stage: int
    phase: PhaseName
    cap: float


class KeyAnswered(Struct, frozen=True, tag="key_answered"):
    """A server of `build` has answered a request with this key that came through this gateway."""

    at: float
    gateway: int
    key: int
    build: int


class InstanceOverloaded(Struct, frozen=True, tag="fell"):
    """A cold server was pushed over."""

    at: float
    server: int


# Gateways that stand in for each other


class ClientDetached(Struct, frozen=True, tag="left"):
    """The client left, and its work goes on: no answer is owed any more."""

    at: float
    gateway: int
    request: int


class GatewayFenced(Struct, frozen=True, tag="sealed"):
    """This gateway's life is over by the ledger, whatever its process still does."""

    at: float
    gateway: int


class RequestRecorded(Struct, frozen=True, tag="written"):
    """The ledger has a client's request: it is to be ended whatever becomes of this gateway."""

    at: float
    gateway: int
    request_id: str = field(name="id")
    deadline: float


class RequestClaimed(Struct, frozen=True, tag="claimed"):
    """Another gateway has it now, by the ledger; `lives`: gateways that have had it."""

    at: float
    gateway: int
    request_id: str = field(name="id")
    incarnations: int = field(name="lives")


class RequestReleased(Struct, frozen=True, tag="given"):
    """The gateway that had it gave it away."""

    at: float
    gateway: int
    request_id: str = field(name="id")


class RequestClosed(Struct, frozen=True, tag="closed"):
    """The ledger has its end."""

    at: float
    gateway: int
    request_id: str = field(name="id")
    outcome: Literal["served", "refused", "failed"] = field(name="end")


class AdoptionStarted(Struct, frozen=True, tag="adopted"):
    """A gateway begins work that it took over, under a number of its own; nobody waits for it there."""

    at: float
    gateway: int
    request: int
    class_index: int = field(name="cls")
    key: int
    deadline: float
    request_id: str = field(name="id")


class CapacityUsed(Struct, frozen=True, tag="admitted"):
    """So much of the capacity that tenants share was used at this gateway."""

    at: float
    gateway: int
    units: float


class OutcomeCounted(Struct, frozen=True, tag="counted"):
    """An experiment has counted the end of a request; `id` as of the request's first gateway."""

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
    """One record as a JSON line, without its end."""
    return _encode(record)


def read_trace(lines: Iterable[bytes], file_name: str) -> Iterator[Record]:
    """Records of a trace file. Raises ValueError, one line naming the place, at the first bad one."""
    for number, line in enumerate(lines, 1):
        try:
            yield _decode(line)
        except msgspec.MsgspecError as error:
            raise ValueError(f"{file_name}: line {number}: {error}") from None
