"""Duplicate requests that wait for the response to the original request."""

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
    """Return the final response to a duplicate whose original request finished in this state."""
    if state is RequestState.SERVED and response is not None:
        return Deliver(request, response.status, response.headers, response.body)
    return Reject(request) if state is RequestState.REJECTED else Fail(request)


def _decode_response(builder: TransactionBuilder, found: Record) -> RecordedResponse | None:
    """Decode a recorded response; if that fails, add a log event and return None."""
    try:
        return decode_recorded_response(found.value)
    except RecordError as error:
        builder.actions.append(LedgerRecordIgnored(STAGE_NAME, found.key, str(error)))
        return None


class DuplicateWaiters:
    """Keeps waiting duplicates by request id; each gets one answer, at its own deadline at the latest."""

    def __init__(self, settings: TakeoverSettings, view: LedgerView) -> None:
        """Start without waiting duplicates; `view` shows which original requests have finished."""
        self.settings = settings
        self.view = view
        self.by_id: dict[str, dict[int, float]] = {}  # request id -> handle -> deadline
        self.id_by_request: dict[int, str] = {}
        self.reading: set[str] = set()  # ids whose responses are being read
        self.reread_at_ms: dict[str, float] = {}  # when to repeat reads with unknown outcomes, by request id

    def add(self, request_id: str, request: int, deadline_ms: float) -> None:
        """Make this request wait for the original request with the same id."""
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
        """Answer all requests that wait for this id, in order of arrival."""
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
        """Answer duplicates if their original has finished; a newer state in the view takes precedence."""
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
        """Handle a changed record; if it was removed, fail the duplicates since the outcome is unknown."""
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
        """Answer the waiting requests with the response that was read, or fail them if there is none."""
        self.reading.discard(request_id)
        if result.outcome is TransactionOutcome.UNKNOWN:
            self.reread_at_ms[request_id] = builder.now + self.settings.retry_delay_ms
            return
        response = None
        if result.existing is not None:
            response = _decode_response(builder, result.existing)
        self.answer_all(builder, request_id, RequestState.SERVED, response)

    def due_at_ms(self) -> float:
        """Return the time at which to repeat the next read; infinity if there is none."""
        if not self.reread_at_ms:
            return math.inf
        return min(self.reread_at_ms.values())

    def on_timer(self, builder: TransactionBuilder) -> None:
        """Repeat the reads whose retry time has come."""
        due = [request_id for request_id, at_ms in self.reread_at_ms.items() if at_ms <= builder.now]
        for request_id in due:
            del self.reread_at_ms[request_id]
            if request_id in self.by_id:
                self._read_response(builder, request_id)

    def fail_overdue(self, builder: TransactionBuilder, request: int) -> None:
        """Fail a waiting request whose deadline has passed; the original request continues."""
        request_id = self.id_by_request.get(request)
        if request_id is not None and self.by_id[request_id][request] <= builder.now:
            self.remove(request)
            builder.actions.append(Fail(request))
