"""Duplicate requests that wait for the response of the original."""

from __future__ import annotations

import math

from meadowpulley.interface import Action, Fail, LedgerRecordIgnored, Reject
from meadowpulley.ledger import CheckVersion, Record, Transaction, TransactionOutcome, TransactionResult
from meadowpulley.takeover.ledger_view import LedgerView
from meadowpulley.takeover.messages import Deliver
from meadowpulley.takeover.records import (
    RESPONSE_PREFIX,
    STAGE_NAME,
    RecordedResponse,
    RecordError,
    RequestState,
    decode_recorded_response,
)
from meadowpulley.takeover.settings import TakeoverSettings
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind


def response_action(request: int, state: RequestState, response: RecordedResponse | None) -> Action | Deliver:
    """Return the final response to a duplicate of a request that finished in this state."""
    if state is RequestState.SERVED and response is not None:
        return Deliver(request, response.status, response.headers, response.body)
    return Reject(request) if state is RequestState.REJECTED else Fail(request)


def _decode_response(builder: TransactionBuilder, found: Record) -> RecordedResponse | None:
    """Return a recorded response; None, and a log event, if it can't be decoded."""
    try:
        return decode_recorded_response(found.value)
    except RecordError as error:
        builder.actions.append(LedgerRecordIgnored(STAGE_NAME, found.key, str(error)))
        return None


class DuplicateWaiters:
    """The waiting duplicates by the client's id; each is answered once, at its own deadline at the latest."""

    def __init__(self, settings: TakeoverSettings, view: LedgerView) -> None:
        """Let duplicates wait for requests whose ends `view` shows."""
        self.settings = settings
        self.view = view
        self.by_id: dict[str, dict[int, float]] = {}  # deadline of each waiting request, by its handle
        self.id_by_request: dict[int, str] = {}
        self.reading: set[str] = set()  # ids whose responses are being read
        self.reread_at_ms: dict[str, float] = {}  # when to repeat a read with an unknown outcome

    def add(self, request_id: str, request: int, deadline_ms: float) -> None:
        """Let this request wait for the original of its id."""
        self.by_id.setdefault(request_id, {})[request] = deadline_ms
        self.id_by_request[request] = request_id

    def remove(self, request: int) -> bool:
        """Remove a request; return whether it was waiting."""
        request_id = self.id_by_request.pop(request, None)
        if request_id is None:
            return False
        del self.by_id[request_id][request]
        if not self.by_id[request_id]:
            del self.by_id[request_id]
        return True

    def answer_all(
        self,
        builder: TransactionBuilder,
        request_id: str,
        state: RequestState,
        response: RecordedResponse | None,
    ) -> None:
        """Answer all requests that wait for this id, in the order they came."""
        for request in self.by_id.pop(request_id, ()):
            del self.id_by_request[request]
            builder.actions.append(response_action(request, state, response))
        self.reread_at_ms.pop(request_id, None)

    def fail_all(self, builder: TransactionBuilder) -> None:
        """Fail every waiting request."""
        for request_id in list(self.by_id):
            self.answer_all(builder, request_id, RequestState.FAILED, None)

    def resolve(
        self, builder: TransactionBuilder, request_id: str, state: RequestState, version: int
    ) -> None:
        """Act on the state of an original at this ledger version, unless the view has a newer one."""
        if request_id not in self.by_id:
            return
        finished = self.view.finished.get(request_id)
        if finished is not None and finished.version >= version:
            state = finished.state
        if state is RequestState.SERVED:
            self._read_response(builder, request_id)
        elif state in (RequestState.FAILED, RequestState.REJECTED):
            self.answer_all(builder, request_id, state, None)

    def on_changed(self, builder: TransactionBuilder, request_id: str) -> None:
        """Act on a new record, or on a removed one: then the outcome of the original is unknown."""
        version = self.view.version_of(request_id)
        state = RequestState.OPEN if version else RequestState.FAILED
        self.resolve(builder, request_id, state, version)

    def _read_response(self, builder: TransactionBuilder, request_id: str) -> None:
        if request_id in self.reading:
            return
        self.reading.add(request_id)
        check = CheckVersion(RESPONSE_PREFIX + request_id, 0)
        intent = TransactionIntent(TransactionKind.READ_RESPONSE, request_id)
        builder.add(Transaction((check,)), intent)

    def on_response_read(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        """Answer the waiting requests with the response that was read; without one they fail."""
        self.reading.discard(request_id)
        if result.outcome is TransactionOutcome.UNKNOWN:
            self.reread_at_ms[request_id] = builder.now + self.settings.retry_delay_ms
            return
        response = None
        if result.existing is not None:
            response = _decode_response(builder, result.existing)
        self.answer_all(builder, request_id, RequestState.SERVED, response)

    def due_at_ms(self) -> float:
        """Return when the next read is to be repeated; infinity: none is."""
        if not self.reread_at_ms:
            return math.inf
        return min(self.reread_at_ms.values())

    def on_timer(self, builder: TransactionBuilder) -> None:
        """Repeat the reads that are due."""
        due = [request_id for request_id, at_ms in self.reread_at_ms.items() if at_ms <= builder.now]
        for request_id in due:
            del self.reread_at_ms[request_id]
            if request_id in self.by_id:
                self._read_response(builder, request_id)

    def fail_overdue(self, builder: TransactionBuilder, request: int) -> None:
        """Fail a waiting request whose deadline has passed; the original goes on."""
        request_id = self.id_by_request.get(request)
        if request_id is not None and self.by_id[request_id][request] <= builder.now:
            self.remove(request)
            builder.actions.append(Fail(request))
