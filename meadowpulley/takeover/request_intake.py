"""Decides how to handle a client's request: journal it, await its original, forward it or fail it."""

from __future__ import annotations

import math

from meadowpulley.interface import Effect, Fail, Request
from meadowpulley.takeover import records
from meadowpulley.takeover.context import StageContext
from meadowpulley.takeover.entry_factory import EntryFactory
from meadowpulley.takeover.journaled_request import JournaledRequest
from meadowpulley.takeover.messages import ClientRequest
from meadowpulley.takeover.request_journal import RequestJournal
from meadowpulley.takeover.settings import JournalScope


class RequestIntake:
    """Decides how to handle a new request, from its class, its id and the state of the ledger."""

    def __init__(self, context: StageContext, journal: RequestJournal, entries: EntryFactory) -> None:
        """Start requests in `journal`, with entries made by `entries`."""
        self.builder = context.builder
        self.journal_scope = context.settings.journal_scope
        self.classes = context.gateway_settings.classes
        self.journal = journal
        self.entries = entries
        # Until this time, clients may repeat requests that were served unjournaled in a ledger outage.
        self.unjournaled_until_ms = -math.inf

    def is_journaled_class(self, class_index: int, body_bytes: int) -> bool:
        """Return whether a request of this class with a body of this length is journaled."""
        if body_bytes > records.MAX_BODY_BYTES:
            return False
        if self.journal_scope is JournalScope.UNREPEATABLE:
            return not self._is_idempotent(class_index)
        return self.journal_scope is JournalScope.ALL

    def _is_idempotent(self, class_index: int) -> bool:
        return self.classes[class_index].effect is Effect.IDEMPOTENT

    def on_client_request(self, event: ClientRequest) -> None:
        """Start a request, or make it wait for the request in flight with the same id."""
        request = event.request
        if not self.is_journaled_class(request.class_index, len(event.body)):
            self.journal.forward(request)
            return
        digest = records.request_digest(event.method, event.target, event.body)
        known = self.journal.table.by_id.get(event.request_id)
        if known is not None:
            self._on_duplicate(event, digest, known)
        elif not self.journal.ledger_usable:
            self._handle_without_ledger(request)
        else:
            sequence = self.builder.next_sequence()
            entry = self.entries.from_client(event, digest, sequence, self.builder.now)
            if self._may_have_been_executed_unjournaled(request):
                self.journal.fail_if_unknown(entry)
            else:
                self.journal.start(entry)

    def _on_duplicate(self, event: ClientRequest, digest: bytes, original: JournaledRequest) -> None:
        """Make a duplicate wait for its original; fail it if its digest differs."""
        if digest == original.digest:
            self.journal.answers.add_waiter(event.request_id, event.request)
            self.journal.answers.answer_waiters(original)
        else:
            self.builder.actions.append(Fail(event.request.request))

    def _may_have_been_executed_unjournaled(self, request: Request) -> bool:
        """Return whether an earlier copy of a request may have been executed without a record.

        For some time after a ledger outage, clients may repeat requests that were served during it.
        """
        if not request.client_retry or self._is_idempotent(request.class_index):
            return False
        return self.builder.now < self.unjournaled_until_ms

    def _handle_without_ledger(self, request: Request) -> None:
        """Serve a request unjournaled, so that nobody adopts it, or fail it if it might be executed twice.

        Without the ledger, this gateway cannot know whether a repeated request is in flight elsewhere. If a
        fenced incarnation executed a request unjournaled while the other gateways still have the ledger, they
        would execute it again when the client repeats it.
        """
        others_may_execute_it = self.journal.fenced and not self._is_idempotent(request.class_index)
        if request.client_retry or others_may_execute_it:
            self.builder.actions.append(Fail(request.request))
        else:
            self.journal.forward(request)

    def on_ledger_recovered(self) -> None:
        """Expect repeats until every client of a request that was served unjournaled has given up.

        Clients give up after the deadline of the request, so this is the longest deadline of all classes that
        are not idempotent.
        """
        unrepeatable = [
            request_class for request_class in self.classes if request_class.effect is not Effect.IDEMPOTENT
        ]
        longest_ms = max((request_class.deadline_ms for request_class in unrepeatable), default=0.0)
        self.unjournaled_until_ms = self.builder.now + longest_ms
