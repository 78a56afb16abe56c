"""Where a part that is off by default may stand beside the intake: one object, `Gateway.hook`, usually None.

It sees each request whole before the decisions hear of it, and each final answer before its client does; it
may answer a request itself, hold an answer until that is recorded, and let work go on without its client.
What it asks of the gateway: `Requests.settle` answers a request, `Intake.put_in` takes one that no client
stands behind, `Gateway.carry_out` adds types of action and `Gateway.tell` takes events of any type, for the
stages round `Gateway.balancer`. With no hook all of it costs the test of one attribute.

All is called in the reactor's turn and must not block. What it raises is logged and counted as `fault.hook`
(in `asked`: as a fault of the intake, which fails the request), and the gateway goes on as without it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from meadowpulley.interface import Request
from meadowpulley.net.http1 import Message


@dataclass(frozen=True, slots=True)
class Response:
    """A final answer; `headers` are those from end to end, none that tell of the connection or the length."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as it was taken. Times are milliseconds on the gateway's clock."""

    request_id: str  # the client's own id of it
    event: Request  # what the decisions are told: its handle, class, tenant, key and deadline among it
    message: Message  # as it came: method, path with query, headers, body
    arrived_ms: float
    is_duplicate: bool  # another request of the same id is owed an answer here


ReleaseResponse: TypeAlias = Callable[[Response], None]


class Extension(Protocol):
    def on_request(self, incoming: IncomingRequest) -> bool:
        """Whether the decisions are told of a request from a client. Where not, it is the hook's: it has
        called `Requests.settle` for it, or will. Unanswered by its deadline and slack it gets 504, and if its
        client goes the decisions are told `RequestGone`, as of any other. One that is `open` is never started
        a second time: where the hook lets it pass it gets 409."""

    def on_response(self, handle: int, response: Response, release: ReleaseResponse) -> None:
        """The final answer of a request is known, and goes out once `release` is called with it, or with
        another in its place, or of itself by the request's deadline and slack. Not called for what the hook
        settled. The handle may be free by now."""

    def on_client_disconnected(self, handle: int) -> bool:
        """The client has gone before the answer: whether the work goes on. If so nobody else hears of it, and
        the answer, once it is there, comes to `answering` as any other."""

    def on_draining(self) -> None:
        """The gateway was told to end: called before any connection is closed for that."""
