"""Trace records of journaled requests, read from ledger transactions instead of reports of a gateway."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from meadowpulley.ledger import Create, Fence, Incarnation, Replace, Transaction
from meadowpulley.rules import (
    GatewayFenced,
    Record,
    RequestClaimed,
    RequestClosed,
    RequestRecorded,
    RequestReleased,
)
from meadowpulley.takeover.records import RECORD_PREFIX, RecordError, RequestState, decode_request_record

_OUTCOMES: dict[RequestState, Literal["served", "refused", "failed"]] = {
    RequestState.SERVED: "served",
    RequestState.FAILED: "failed",
    RequestState.REJECTED: "refused",
}


@dataclass(slots=True)
class _KnownRecord:
    """Latest owner and state of a request's record."""

    owner: Incarnation
    state: RequestState


def gateway_number(incarnation: Incarnation) -> int:
    """Return the number of the gateway that an incarnation belongs to."""
    return int(incarnation.name[1:])


class LedgerObserver:
    """Derives trace records from the transactions that the ledger commits."""

    def __init__(self) -> None:
        self._known_records: dict[str, _KnownRecord] = {}

    def records_of(self, now: float, incarnation: Incarnation, step: Transaction) -> list[Record]:
        """Return the trace records of one committed transaction."""
        records: list[Record] = []
        for write in step.writes:
            if isinstance(write, Fence):
                records.append(GatewayFenced(now, gateway_number(write.incarnation)))
            elif isinstance(write, Create | Replace) and write.key.startswith(RECORD_PREFIX):
                records += self._request_records(
                    now, incarnation, write.key.removeprefix(RECORD_PREFIX), write.value
                )
        return records

    def _request_records(
        self, now: float, incarnation: Incarnation, request_id: str, value: bytes
    ) -> list[Record]:
        try:
            work = decode_request_record(value)
        except RecordError:
            return []
        previous = self._known_records.get(request_id)
        gateway = gateway_number(incarnation)
        self._known_records[request_id] = _KnownRecord(incarnation, work.state)
        records: list[Record] = []
        if previous is None or previous.state is RequestState.REJECTED:
            records.append(RequestRecorded(now, gateway, request_id, now + work.remaining_ms))
        elif previous.owner != incarnation:
            records.append(RequestClaimed(now, gateway, request_id, work.owner_count))
        if work.state is RequestState.RELEASED:
            records.append(RequestReleased(now, gateway, request_id))
        elif work.state is not RequestState.OPEN:
            records.append(RequestClosed(now, gateway, request_id, _OUTCOMES[work.state]))
        return records
