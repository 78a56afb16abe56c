"""Answers the clients of journaled requests: each request's own client, and those of its duplicates."""

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
    """Gives each client one final response, or ends its slot."""

    def __init__(
        self,
        context: StageContext,
        table: JournalTable,
        waiters: DuplicateWaiters,
        response_cache: ResponseCache,
        wakeups: Wakeups,
    ) -> None:
        """Answer the clients of the requests in `table`; clients of duplicates wait in `waiters`."""
        self.holds_lease = context.holds_lease
        self.builder = context.builder
        self.table = table
        self.waiters = waiters
        self.response_cache = response_cache
        self.wakeups = wakeups

    def answer_once(self, entry: JournaledRequest, action: Reject | Fail | Deliver | Discard) -> None:
        """Give the request's own client its final response, or end its slot, unless that was done."""
        if not entry.answered:
            entry.answered = True
            self.builder.actions.append(action)

    def complete(self, entry: JournaledRequest, recorded: FinalResponse) -> None:
        """Answer everyone who waits: this final response is in the ledger, or needs no record.

        The record stays as it is, even where the own client got another response since: duplicates may have
        got this one.
        """
        answer = entry.final_response if entry.final_response is not None else recorded
        self.answer_once(entry, answer.action)
        self.table.relinquish(entry)
        self.waiters.answer_all(self.builder, entry.request_id, recorded.state, recorded.response)
        self.response_cache.add_finished(self.builder, entry, recorded)

    def answer_overdue(self, entry: JournaledRequest) -> None:
        """Answer a client that can wait no longer, though the final response is not known to be recorded.

        While the lease holds, nobody else can have finished the request unless it was released, and a served
        response is delivered. A rejection is not: whoever finds the record may yet execute the request.
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
        """Answer duplicates before the record, with the response of the client, where it is sure to stand."""
        final_response = entry.final_response
        is_certain = (
            entry.answered and entry.superseded_response is None and self.holds_lease(self.builder.now)
        )
        if is_certain and final_response is not None:
            self.waiters.answer_all(
                self.builder, entry.request_id, final_response.state, final_response.response
            )

    def add_waiter(self, request_id: str, request: Request) -> None:
        """Let a duplicate wait for the original, until its own deadline."""
        self.waiters.add(request_id, request.request, request.deadline_ms)
        self.wakeups.schedule(request.deadline_ms, request.request)

    def wait_for_new_owner(self, entry: JournaledRequest) -> None:
        """Let the client of a request that another gateway owns now wait like that of a duplicate."""
        if not entry.answered and entry.has_client and not entry.request.adopted:
            self.add_waiter(entry.request_id, entry.request)
        else:
            self.answer_once(entry, Discard(entry.request.request))
