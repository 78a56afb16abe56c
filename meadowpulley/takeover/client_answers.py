"""Answers the clients of journaled requests: the original client and the clients that sent duplicates."""

from __future__ import annotations

from meadowpulley.interface import Fail, Reject, Request
from meadowpulley.takeover.context import StageContext
from meadowpulley.takeover.duplicate_waiters import DuplicateWaiters
from meadowpulley.takeover.journal_table import JournalTable
from meadowpulley.takeover.journaled_request import FinalResponse, JournaledRequest
from meadowpulley.takeover.messages import Deliver, Discard
from meadowpulley.takeover.records import RequestState
from meadowpulley.takeover.response_cache import ResponseCache
from meadowpulley.takeover.wakeups import Wakeups


class ClientAnswers:
    """Gives each client exactly one final response, or frees its slot if the client has disconnected."""

    def __init__(
        self,
        context: StageContext,
        table: JournalTable,
        waiters: DuplicateWaiters,
        response_cache: ResponseCache,
        wakeups: Wakeups,
    ) -> None:
        """Answer the clients of the requests in `table` and the duplicates that wait in `waiters`."""
        self.holds_lease = context.holds_lease
        self.builder = context.builder
        self.table = table
        self.waiters = waiters
        self.response_cache = response_cache
        self.wakeups = wakeups

    def answer_once(self, entry: JournaledRequest, action: Reject | Fail | Deliver | Discard) -> None:
        """Emit the action that ends the original client's request, unless that has already happened."""
        if not entry.answered:
            entry.answered = True
            self.builder.actions.append(action)

    def complete(self, entry: JournaledRequest, recorded: FinalResponse) -> None:
        """Answer all waiting clients; `recorded` is in the ledger, or needs no record.

        The record is not changed even if the original client has since received another response, because
        duplicates may already have received the recorded one.
        """
        answer = entry.final_response if entry.final_response is not None else recorded
        self.answer_once(entry, answer.action)
        self.table.relinquish(entry)
        self.waiters.answer_all(self.builder, entry.request_id, recorded.state, recorded.response)
        self.response_cache.add_finished(self.builder, entry, recorded)

    def answer_overdue(self, entry: JournaledRequest) -> None:
        """Answer a client that cannot wait longer, although the final response may not be recorded.

        While the lease holds and the request was not released, no other gateway can have finished it, so a
        served response is delivered. A rejection is replaced by a failure, because another gateway that finds
        the record may still execute the request.
        """
        final_response = entry.final_response
        if final_response is None:
            return
        authoritative = self.holds_lease(self.builder.now) and not entry.releasing
        if final_response.state is RequestState.REJECTED or not authoritative:
            entry.supersede_final_response()
            final_response = entry.failure()
            entry.final_response = final_response
        self.answer_once(entry, final_response.action)

    def answer_waiters(self, entry: JournaledRequest) -> None:
        """Answer duplicates before the response is recorded, if nothing can replace it any more."""
        final_response = entry.final_response
        is_certain = (
            entry.answered and entry.superseded_response is None and self.holds_lease(self.builder.now)
        )
        if is_certain and final_response is not None:
            self.waiters.answer_all(
                self.builder, entry.request_id, final_response.state, final_response.response
            )

    def add_waiter(self, request_id: str, request: Request) -> None:
        """Make a duplicate wait for the original request, until the duplicate's own deadline."""
        self.waiters.add(request_id, request.request, request.deadline_ms)
        self.wakeups.schedule(request.deadline_ms, request.request)

    def wait_for_new_owner(self, entry: JournaledRequest) -> None:
        """Make the client wait like a duplicate's client, now that another gateway owns the request."""
        if not entry.answered and entry.has_client and not entry.request.adopted:
            self.add_waiter(entry.request_id, entry.request)
        else:
            self.answer_once(entry, Discard(entry.request.request))
