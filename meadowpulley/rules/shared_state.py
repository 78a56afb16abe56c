"""Checks the rules on gateways that take over each other's requests, over the traces of all gateways.

A recorded request is claimed only after its owner released it or was fenced, at most a given number of
times, and is adopted only by the gateway that claimed it. A recorded request ends in time as long as any
gateway is alive.

Requests with the same id get the same response, or a failure. All gateways together admit no more than the
capacity, and an experiment counts each request once.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from meadowpulley.rules.record_handlers import RecordHandlers
from meadowpulley.rules.trace import (
    AdoptionStarted,
    AttemptSent,
    CapacityUsed,
    ClientDetached,
    GatewayCrashed,
    GatewayFenced,
    GatewayStarted,
    OutcomeCounted,
    Record,
    RequestAbandoned,
    RequestClaimed,
    RequestClosed,
    RequestReceived,
    RequestRecorded,
    RequestReleased,
    ResponseSent,
)
from meadowpulley.rules.violations import ReportViolation


@dataclass(frozen=True, slots=True)
class SharedStateParameters:
    """Limits of the rules on shared state; the defaults turn the checks off.

    `end_ms` and `max_incarnations` turn their check off with 0, `admissions_per_s` with infinity.
    """

    end_ms: float = 0.0  # how long (ms) after its deadline a recorded request may end
    max_incarnations: int = 0  # maximum number of gateway incarnations that may own one request in turn
    admissions_per_s: float = math.inf  # capacity units that all gateways may admit per second
    admission_burst: float = 0.0  # capacity units beyond the rate that may be admitted in any period


MS_PER_SECOND = 1000.0
ROUNDING_UNITS = 1e-6  # units may exceed the capacity by this number, because of rounding errors
NOT_SHARED = SharedStateParameters()


@dataclass(slots=True)
class _RecordedRequest:
    deadline: float
    owner: int
    released: bool = False  # whether the owner released the request or was fenced
    outcome: str = ""


class SharedStateChecker:
    """Checks the rules on shared state: call `observe` with each record in order, then `finish`.

    Each violation is passed to `report`.
    """

    def __init__(self, parameters: SharedStateParameters, report: ReportViolation) -> None:
        self.parameters = parameters
        self._report = report
        self._requests: dict[str, _RecordedRequest] = {}
        # Ids of the requests whose clients still wait for a response, by gateway and request number.
        self._request_ids: dict[tuple[int, int], str] = {}
        # Requests for which a gateway sent an attempt, as (gateway, request number). Duplicates that only
        # wait for the response to another request with the same id are not included.
        self._sent_here: set[tuple[int, int]] = set()
        self._served_content: dict[str, str] = {}  # content of the first served response, by request id
        self._alive: set[int] = set()  # gateways with a live incarnation
        self._no_gateway_until = 0.0  # end (ms) of the last period without a live gateway
        self._level = 0.0  # fill level (units) of the leaky bucket that checks admissions
        self._level_at = 0.0
        self._counted: set[tuple[str, str]] = set()
        self._owners: dict[str, set[int]] = defaultdict(set)  # all gateways that have owned a request, by id
        self._handlers = RecordHandlers()
        self._handlers.add(GatewayStarted, self._gateway_started)
        self._handlers.add(GatewayCrashed, self._gateway_crashed)
        self._handlers.add(GatewayFenced, self._gateway_fenced)
        self._handlers.add(RequestReceived, self._request_received)
        self._handlers.add(AttemptSent, self._attempt_sent)
        self._handlers.add(ResponseSent, self._response_sent)
        self._handlers.add(ClientDetached, self._client_left)
        self._handlers.add(RequestAbandoned, self._client_left)
        self._handlers.add(RequestRecorded, self._request_recorded)
        self._handlers.add(RequestClaimed, self._request_claimed)
        self._handlers.add(RequestReleased, self._request_released)
        self._handlers.add(AdoptionStarted, self._adoption_started)
        self._handlers.add(RequestClosed, self._request_closed)
        self._handlers.add(CapacityUsed, self._capacity_used)
        self._handlers.add(OutcomeCounted, self._outcome_counted)

    def observe(self, record: Record) -> None:
        """Check the next record of the trace."""
        self._handlers.handle(record)

    def finish(self, at: float) -> None:
        """End the trace, and report recorded requests that have no outcome after their time limit."""
        for request_id, request in self._requests.items():
            if not request.outcome:
                self._check_closed_in_time(request_id, request, at)

    def recorded(self, gateway: int, request_id: str) -> bool:
        """Return whether a gateway recorded or claimed this request in the ledger.

        A request is not recorded if the ledger is unavailable or the gateway's incarnation has ended. The
        request then belongs to its gateway alone, and a client retry is a new request, as without a ledger.
        """
        return gateway in self._owners.get(request_id, ())

    # Handlers of the records of gateway incarnations

    def _gateway_started(self, record: GatewayStarted) -> None:
        if not self._alive:
            self._no_gateway_until = record.at
        self._alive.add(record.gateway)

    def _gateway_crashed(self, record: GatewayCrashed) -> None:
        self._alive.discard(record.gateway)
        self._request_ids = {
            (gateway, request): request_id
            for (gateway, request), request_id in self._request_ids.items()
            if gateway != record.gateway
        }

    def _gateway_fenced(self, record: GatewayFenced) -> None:
        self._alive.discard(record.gateway)
        for request in self._requests.values():
            if request.owner == record.gateway:
                request.released = True

    # Handlers of the records of requests

    def _request_received(self, record: RequestReceived) -> None:
        if record.request_id:
            self._request_ids[record.gateway, record.request] = record.request_id

    def _attempt_sent(self, record: AttemptSent) -> None:
        self._sent_here.add((record.gateway, record.request))

    def _client_left(self, record: ClientDetached | RequestAbandoned) -> None:
        self._request_ids.pop((record.gateway, record.request), None)  # no client waits for a response

    def _request_recorded(self, record: RequestRecorded) -> None:
        known = self._requests.get(record.request_id)
        if known is not None and known.outcome in ("served", "failed"):
            text = f"{record.request_id} was recorded again although it already had an outcome"
            self._report("takeover", record.at, record.gateway, text)
        self._requests[record.request_id] = _RecordedRequest(record.deadline, record.gateway)
        self._owners[record.request_id].add(record.gateway)

    def _request_claimed(self, record: RequestClaimed) -> None:
        request = self._requests.get(record.request_id)
        if request is None or request.outcome:
            text = f"{record.request_id} was claimed, but was not recorded or already had an outcome"
            self._report("takeover", record.at, record.gateway, text)
            return
        if not request.released:
            text = f"{record.request_id} was claimed from gateway {request.owner}, which still owns it"
            self._report("takeover", record.at, record.gateway, text)
        if self.parameters.max_incarnations and record.incarnations > self.parameters.max_incarnations:
            text = (
                f"{record.request_id} was taken over {record.incarnations - 1} times, more often than allowed"
            )
            self._report("takeover", record.at, record.gateway, text)
        request.owner = record.gateway
        request.released = False
        self._owners[record.request_id].add(record.gateway)

    def _request_released(self, record: RequestReleased) -> None:
        request = self._requests.get(record.request_id)
        if request is not None:
            request.released = True

    def _adoption_started(self, record: AdoptionStarted) -> None:
        # No client waits at this gateway for the response to an adopted request, so no request id is stored.
        request = self._requests.get(record.request_id)
        if request is None or request.owner != record.gateway or request.outcome:
            text = f"{record.request_id} was adopted by a gateway that has no valid claim on it"
            self._report("takeover", record.at, record.gateway, text)

    def _request_closed(self, record: RequestClosed) -> None:
        request = self._requests.get(record.request_id)
        if request is None:
            return
        if self._is_outcome_reported(record.request_id, request) and request.outcome != record.outcome:
            text = (
                f"{record.request_id} was closed as {request.outcome}, and is now closed as {record.outcome}"
            )
            self._report("answers", record.at, record.gateway, text)
        request.outcome = record.outcome
        self._check_closed_in_time(record.request_id, request, record.at)

    def _is_outcome_reported(self, request_id: str, request: _RecordedRequest) -> bool:
        """Return whether a client may have received the outcome.

        Before a client receives an outcome, a gateway that does not know whether its commit succeeded may
        record another outcome.
        """
        if request.outcome == "served":
            return request_id in self._served_content
        return request.outcome == "failed"

    def _check_closed_in_time(self, request_id: str, request: _RecordedRequest, at: float) -> None:
        limit = max(request.deadline, self._no_gateway_until) + self.parameters.end_ms
        if self.parameters.end_ms and at > limit and (self._alive or request.outcome):
            problem = (
                f"ended {at - limit:.0f} ms late"
                if request.outcome
                else "had no outcome within its time limit"
            )
            self._report("written", limit, request.owner, f"{request_id} {problem}")

    def _response_sent(self, record: ResponseSent) -> None:
        request_key = (record.gateway, record.request)
        request_id = self._request_ids.pop(request_key, "")
        sent_here = request_key in self._sent_here
        self._sent_here.discard(request_key)
        if not request_id or (sent_here and not self.recorded(record.gateway, request_id)):
            return
        if record.response == "served":
            first_content = self._served_content.setdefault(request_id, record.content)
            if first_content != record.content:
                self._report(
                    "answers", record.at, record.gateway, f"{request_id} got two different responses"
                )
        request = self._requests.get(request_id)
        if request is not None and request.outcome and record.response not in (request.outcome, "failed"):
            text = f"{request_id} was closed as {request.outcome}, but its response was {record.response}"
            self._report("answers", record.at, record.gateway, text)

    # Handlers of the records of capacity and experiments

    def _capacity_used(self, record: CapacityUsed) -> None:
        """Check admissions with a leaky bucket that drains at the rate of the capacity."""
        leaked = self.parameters.admissions_per_s * (record.at - self._level_at) / MS_PER_SECOND
        self._level = max(self._level - leaked, 0.0) + record.units
        self._level_at = record.at
        excess = self._level - self.parameters.admission_burst
        if self._level > self.parameters.admission_burst + ROUNDING_UNITS:
            text = f"{excess:.1f} units more than the capacity were admitted"
            self._report("admissions", record.at, record.gateway, text)

    def _outcome_counted(self, record: OutcomeCounted) -> None:
        if (record.experiment, record.request_id) in self._counted:
            text = f"{record.request_id} was counted twice by experiment '{record.experiment}'"
            self._report("counts", record.at, record.gateway, text)
        self._counted.add((record.experiment, record.request_id))
