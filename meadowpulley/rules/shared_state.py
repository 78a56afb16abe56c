"""Rules on gateways that take over each other's requests, checked over the traces of all of them.

A recorded request is claimed only after it was released or its gateway was fenced, at most a given number
of times, and adopted only by the gateway that claimed it. It ends in time while a gateway lives.

Requests with one id get the same response, or a failure. All gateways together admit no more than the
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
    """Limits of the rules on shared state; 0 or infinity turns a check off."""

    end_ms: float = 0.0  # time after its deadline by which a recorded request has ended
    max_incarnations: int = 0  # gateways that may own one request, one after the other
    admissions_per_s: float = math.inf  # units per second, of all gateways
    admission_burst: float = 0.0  # units beyond the rate within any time


MS_PER_SECOND = 1000.0
ROUNDING_UNITS = 1e-6  # of a capacity
NOT_SHARED = SharedStateParameters()


@dataclass(slots=True)
class _RecordedRequest:
    deadline: float
    owner: int
    released: bool = False  # released, or its owner was fenced
    outcome: str = ""


class SharedStateChecker:
    """Checks shared state: call `observe` with each record in order, then `finish`.

    `report` receives violations.
    """

    def __init__(self, parameters: SharedStateParameters, report: ReportViolation) -> None:
        self.parameters = parameters
        self._report = report
        self._requests: dict[str, _RecordedRequest] = {}
        self._request_ids: dict[tuple[int, int], str] = {}  # by gateway and request number
        # Gateways and requests that they sent themselves, not duplicates that wait for another's response.
        self._sent_here: set[tuple[int, int]] = set()
        self._served_content: dict[str, str] = {}  # response content by request id
        self._alive: set[int] = set()  # gateways with a live incarnation
        self._no_gateway_until = 0.0  # no gateway was alive before this time
        self._level = 0.0  # of the leaky bucket that checks admissions
        self._level_at = 0.0
        self._counted: set[tuple[str, str]] = set()
        self._owners: dict[str, set[int]] = defaultdict(set)  # gateways that owned the request, by request id
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
        """Check one record."""
        self._handlers.handle(record)

    def finish(self, at: float) -> None:
        """End the trace: recorded requests without an outcome past their limit are violations."""
        for request_id, request in self._requests.items():
            if not request.outcome:
                self._check_closed_in_time(request_id, request, at)

    def recorded(self, gateway: int, request_id: str) -> bool:
        """Return whether a gateway recorded this request.

        A request that was never recorded, because the ledger was unavailable or the incarnation over, is
        the gateway's own, as without a ledger: the client's next request counts as another one.
        """
        return gateway in self._owners.get(request_id, ())

    # Incarnations

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

    # Requests

    def _request_received(self, record: RequestReceived) -> None:
        if record.request_id:
            self._request_ids[record.gateway, record.request] = record.request_id

    def _attempt_sent(self, record: AttemptSent) -> None:
        self._sent_here.add((record.gateway, record.request))

    def _client_left(self, record: ClientDetached | RequestAbandoned) -> None:
        self._request_ids.pop((record.gateway, record.request), None)  # responses from now on reach nobody

    def _request_recorded(self, record: RequestRecorded) -> None:
        known = self._requests.get(record.request_id)
        if known is not None and known.outcome in ("served", "failed"):
            text = f"{record.request_id} has its end, and was begun again"
            self._report("takeover", record.at, record.gateway, text)
        self._requests[record.request_id] = _RecordedRequest(record.deadline, record.gateway)
        self._owners[record.request_id].add(record.gateway)

    def _request_claimed(self, record: RequestClaimed) -> None:
        request = self._requests.get(record.request_id)
        if request is None or request.outcome:
            text = f"{record.request_id} was claimed, and there is nothing to take over"
            self._report("takeover", record.at, record.gateway, text)
            return
        if not request.released:
            text = f"{record.request_id} was claimed from gateway {request.owner}, whose life is not over"
            self._report("takeover", record.at, record.gateway, text)
        if self.parameters.max_incarnations and record.incarnations > self.parameters.max_incarnations:
            text = f"{record.request_id} was taken over for the {record.incarnations - 1}th time"
            self._report("takeover", record.at, record.gateway, text)
        request.owner = record.gateway
        request.released = False
        self._owners[record.request_id].add(record.gateway)

    def _request_released(self, record: RequestReleased) -> None:
        request = self._requests.get(record.request_id)
        if request is not None:
            request.released = True

    def _adoption_started(self, record: AdoptionStarted) -> None:
        # Its response reaches no client, so the request's number gets no id at this gateway.
        request = self._requests.get(record.request_id)
        if request is None or request.owner != record.gateway or request.outcome:
            text = f"{record.request_id} was begun without a claim that holds"
            self._report("takeover", record.at, record.gateway, text)

    def _request_closed(self, record: RequestClosed) -> None:
        request = self._requests.get(record.request_id)
        if request is None:
            return
        if self._is_outcome_reported(record.request_id, request) and request.outcome != record.outcome:
            text = f"{record.request_id} was {request.outcome}, and is {record.outcome} now"
            self._report("answers", record.at, record.gateway, text)
        request.outcome = record.outcome
        self._check_closed_in_time(record.request_id, request, record.at)

    def _is_outcome_reported(self, request_id: str, request: _RecordedRequest) -> bool:
        """Return whether a client may have received the outcome.

        A gateway that did not learn of its commit may record another outcome until then.
        """
        if request.outcome == "served":
            return request_id in self._served_content
        return request.outcome == "failed"

    def _check_closed_in_time(self, request_id: str, request: _RecordedRequest, at: float) -> None:
        limit = max(request.deadline, self._no_gateway_until) + self.parameters.end_ms
        if self.parameters.end_ms and at > limit and (self._alive or request.outcome):
            problem = f"ended {at - limit:.0f} ms late" if request.outcome else "was never ended"
            self._report("written", limit, request.owner, f"{request_id} {problem}")

    def _response_sent(self, record: ResponseSent) -> None:
        handle = (record.gateway, record.request)
        request_id = self._request_ids.pop(handle, "")
        sent_here = handle in self._sent_here
        self._sent_here.discard(handle)
        if not request_id or (sent_here and not self.recorded(record.gateway, request_id)):
            return
        if record.response == "served":
            first_content = self._served_content.setdefault(request_id, record.content)
            if first_content != record.content:
                self._report("answers", record.at, record.gateway, f"{request_id} was answered in two ways")
        request = self._requests.get(request_id)
        if request is not None and request.outcome and record.response not in (request.outcome, "failed"):
            text = f"{request_id} was {request.outcome}, and is answered {record.response}"
            self._report("answers", record.at, record.gateway, text)

    # Capacity and experiments

    def _capacity_used(self, record: CapacityUsed) -> None:
        """Check admissions by a leaky bucket with the capacity as its rate."""
        leaked = self.parameters.admissions_per_s * (record.at - self._level_at) / MS_PER_SECOND
        self._level = max(self._level - leaked, 0.0) + record.units
        self._level_at = record.at
        excess = self._level - self.parameters.admission_burst
        if self._level > self.parameters.admission_burst + ROUNDING_UNITS:
            text = f"{excess:.1f} more than the capacity was admitted"
            self._report("admissions", record.at, record.gateway, text)

    def _outcome_counted(self, record: OutcomeCounted) -> None:
        if (record.experiment, record.request_id) in self._counted:
            text = f"{record.request_id} was counted twice by '{record.experiment}'"
            self._report("counts", record.at, record.gateway, text)
        self._counted.add((record.experiment, record.request_id))
