"""Calls of clients and the requests that they send for them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from meadowpulley.load.arrivals import Arrival


class GatewayEndpoint(Protocol):
    """The part of a gateway that clients use."""

    number: int
    alive: bool

    def accept(self, request: ClientRequest) -> None:
        """Receive a complete request."""


@dataclass(slots=True, eq=False)
class ClientCall:
    """One arrival of the load, with all requests that the client sends for it."""

    arrival: Arrival
    class_index: int
    site: int
    first_sent_at: float
    requests_sent: int = 0
    finished: bool = False
    request_id: str = ""  # client's id, the same for all requests of the call; empty without shared state


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a call; its number is unique within a run."""

    number: int
    call: ClientCall
    sent_at: float
    deadline: float
    request_id: str = ""
    gateway: GatewayEndpoint | None = None
    answered: bool = False
