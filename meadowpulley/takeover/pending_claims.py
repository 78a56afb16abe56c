"""The unfinished claims of this gateway, from the first write until adoption or the final state.

A claim is one compare-and-set of the record. The content of the request is read in the same commit, so that
no further read is needed once the claim is committed.
"""

from __future__ import annotations

import math

from meadowpulley.interface import AdoptionFailed, LedgerRecordIgnored, Settings
from meadowpulley.ledger import (
    CheckVersion,
    Record,
    Replace,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.takeover.claim import Claim
from meadowpulley.takeover.context import StageContext
from meadowpulley.takeover.ledger_view import ObservedRequest
from meadowpulley.takeover.messages import AdoptRequest
from meadowpulley.takeover.records import (
    CONTENT_PREFIX,
    RECORD_PREFIX,
    STAGE_NAME,
    RecordError,
    RequestContent,
    RequestState,
    decode_request_content,
    decode_request_record,
    encode_record,
)
from meadowpulley.takeover.response_cache import CachedResponse, ResponseCache
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind


class PendingClaims:
    """Writes claims; then asks for a slot for each request to adopt, and finishes the others."""

    def __init__(self, context: StageContext, response_cache: ResponseCache) -> None:
        """Claim for the incarnation in `context`; add finished requests to `response_cache`."""
        self.incarnation = context.incarnation
        self.settings = context.settings
        self.class_indexes = _class_indexes(context.gateway_settings)
        self.response_cache = response_cache
        self.by_id: dict[str, Claim] = {}

    def adopting_count(self) -> int:
        """Return the number of unfinished claims whose requests are to be adopted."""
        return sum(claim.target_state is RequestState.OPEN for claim in self.by_id.values())

    def next_retry_at_ms(self) -> float:
        """Return the time at which to retry the next claim; infinity if there is none to retry."""
        return min((claim.retry_at_ms for claim in self.by_id.values()), default=math.inf)

    def begin(
        self,
        builder: TransactionBuilder,
        observed: ObservedRequest,
        target_state: RequestState,
        deadline_ms: float,
    ) -> None:
        """Claim an orphan: adopt it if `target_state` is OPEN, otherwise record that state."""
        claim = Claim(observed, target_state, deadline_ms, builder.next_sequence())
        self.by_id[claim.request_id] = claim
        self._submit(builder, claim)

    def retry_due(self, builder: TransactionBuilder) -> None:
        """Retry the claims whose retry time has come."""
        for claim in list(self.by_id.values()):
            if claim.retry_at_ms <= builder.now:
                claim.retry_at_ms = math.inf
                self._submit(builder, claim)

    def _submit(self, builder: TransactionBuilder, claim: Claim) -> None:
        """Write the claim unless it is already committed, and read the content of the request."""
        request_id = claim.request_id
        if not claim.record_version:
            value = encode_record(claim.to_record(builder.now))
            write = Replace(RECORD_PREFIX + request_id, value, claim.observed.version)
            builder.add(Transaction((write,)), TransactionIntent(TransactionKind.CLAIM, request_id))
        read = CheckVersion(CONTENT_PREFIX + request_id, 0)
        builder.add(Transaction((read,)), TransactionIntent(TransactionKind.READ_CONTENT, request_id))

    # Results of transactions

    def on_claim_result(self, request_id: str, result: TransactionResult) -> Claim | None:
        """Handle the result of a claim; if another gateway changed the record first, drop and return it."""
        claim = self.by_id.get(request_id)
        if claim is None:
            return None
        if result.outcome is TransactionOutcome.COMMITTED:
            claim.record_version = result.version
        elif result.outcome is TransactionOutcome.UNKNOWN:
            claim.uncertain = True
        elif claim.uncertain and result.existing is not None and self._is_own(claim, result.existing):
            claim.record_version = result.existing.version  # an earlier write was committed after all
        else:
            return self.by_id.pop(request_id)
        return None

    def _is_own(self, claim: Claim, found: Record) -> bool:
        if found.writer != self.incarnation:
            return False
        return decode_request_record(found.value).sequence == claim.sequence

    def on_content_read(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> float:
        """Continue a committed claim with the request content: finish the request, or ask for a slot.

        Returns:
            The time at which to retry the claim; infinity if no retry is needed.
        """
        claim = self.by_id.get(request_id)
        if claim is None:
            return math.inf
        if result.outcome is TransactionOutcome.UNKNOWN or not claim.record_version:
            claim.retry_at_ms = builder.now + self.settings.retry_delay_ms
            return claim.retry_at_ms
        if result.existing is not None:
            _store_content(builder, claim, result.existing)
        if claim.target_state is not RequestState.OPEN:
            self._finish(builder, claim)
        elif claim.content is None:
            builder.actions.append(AdoptionFailed(request_id))
            self._change_target(builder, claim, RequestState.FAILED)
        else:
            builder.actions.append(self._adopt_action(claim, claim.content))
        return math.inf

    def on_adoption_result(
        self, builder: TransactionBuilder, request_id: str, *, has_slot: bool
    ) -> Claim | None:
        """Return the claim if its request got a slot; otherwise release the request and return None."""
        claim = self.by_id.get(request_id)
        if claim is None:
            return None
        if has_slot:
            return self.by_id.pop(request_id)
        self._change_target(builder, claim, RequestState.RELEASED)
        return None

    def _adopt_action(self, claim: Claim, content: RequestContent) -> AdoptRequest:
        return AdoptRequest(
            claim.request_id,
            self.class_indexes[claim.observed.record.class_name],
            claim.deadline_ms,
            content.method,
            content.target,
            content.headers,
            content.body,
        )

    def _change_target(self, builder: TransactionBuilder, claim: Claim, target_state: RequestState) -> None:
        """Finish a request that was claimed for adoption, or release it as if it had not been claimed.

        A release does not count this gateway as an owner of the request.
        """
        self.begin(
            builder, claim.as_observed(self.incarnation, target_state), target_state, claim.deadline_ms
        )

    def _finish(self, builder: TransactionBuilder, claim: Claim) -> None:
        del self.by_id[claim.request_id]
        if claim.target_state is RequestState.RELEASED:
            return
        finished = CachedResponse(
            claim.request_id,
            builder.now + self.settings.response_retention_ms,
            claim.record_version,
            content_version=claim.content_version,
        )
        self.response_cache.add(builder, finished)


def _class_indexes(gateway_settings: Settings) -> dict[str, int]:
    """Return the policy's index of each class, keyed by the class name that records contain."""
    return {request_class.name: index for index, request_class in enumerate(gateway_settings.classes)}


def _store_content(builder: TransactionBuilder, claim: Claim, found: Record) -> None:
    claim.content_version = found.version
    try:
        claim.content = decode_request_content(found.value)
    except RecordError as error:
        builder.actions.append(LedgerRecordIgnored(STAGE_NAME, found.key, str(error)))
