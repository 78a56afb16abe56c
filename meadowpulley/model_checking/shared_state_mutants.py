"""Bugs planted in what gateways share: the ledger and its lease manager, takeover, lending."""

from __future__ import annotations

from meadowpulley.model_checking.mutant_builders import shared_state_mutant

MEMORY, LEASE_MANAGER = "meadowpulley.ledger.memory", "meadowpulley.ledger.lease_manager"
MEMBER_TABLE = "meadowpulley.ledger.member_table"
REQUEST_JOURNAL = "meadowpulley.takeover.request_journal"
ADOPTION = "meadowpulley.takeover.adoption"
CLAIM = "meadowpulley.takeover.claim"
LEDGER_VIEW = "meadowpulley.takeover.ledger_view"
DUPLICATE_WAITERS = "meadowpulley.takeover.duplicate_waiters"
ALLOCATOR, QUOTA_CLIENT = "meadowpulley.lending.allocator", "meadowpulley.lending.quota_client"
RESERVATIONS = "meadowpulley.lending.reservations"


SHARED_STATE_MUTANTS = (
    # The ledger and its lease manager
    shared_state_mutant(
        "sealed-commits",
        "a life that is over goes on writing",
        "sealed",
        "lives",
        MEMORY,
        (
            "if member is None or member.incarnation != incarnation or member.fenced:",
            "if member is None or member.incarnation != incarnation:",
        ),
    ),
    shared_state_mutant(
        "replaces-any",
        "a record is replaced whatever its version",
        "one-answer one-adopter",
        "answers",
        MEMORY,
        (
            "expected_version = 0 if isinstance(write, Create) else write.version",
            "expected_version = 0 if isinstance(write, Create) or existing is None else existing.version",
        ),
    ),
    shared_state_mutant(
        "creates-over",
        "a record is created over another",
        "one-answer one-adopter executed",
        "clients",
        MEMORY,
        (
            "expected_version = 0 if isinstance(write, Create) else write.version",
            "expected_version = existing.version if isinstance(write, Create) and existing else "
            "getattr(write, 'version', 0)",
        ),
    ),
    shared_state_mutant(
        "seals-the-renewed",
        "a life that has renewed since is sealed",
        "sealed lease",
        "answers",
        MEMORY,
        ("if not can_be_fenced or member.renewal != write.renewal:", "if not can_be_fenced:"),
    ),
    shared_state_mutant(
        "lease-from-answer",
        "the own lease counts from the answer to a renewal",
        "lease",
        "answers",
        LEASE_MANAGER,
        ("self._extend_lease(renewal_started)", "self._extend_lease(now)"),
    ),
    shared_state_mutant(
        "suspects-early",
        "others count a lease free while it holds",
        "lease",
        "answers",
        MEMBER_TABLE,
        (
            "observed.observed_at + self._timings.expiry_of(observed.member.term_ms)",
            "observed.observed_at + observed.member.term_ms * 0.5",
        ),
    ),
    shared_state_mutant(
        "renewals-unseen",
        "renewals of others are not counted",
        "lease sealed",
        "lives",
        MEMBER_TABLE,
        (
            "observed.observed_at = now\n            observed.expired = False\n",
            "observed.expired = False\n",
        ),
        time_advances=4,
    ),
    # Rights and answers
    shared_state_mutant(
        "right-not-awaited",
        "an attempt goes out while its right is asked for",
        "executed lease effects",
        "lives",
        REQUEST_JOURNAL,
        (
            (
                "        entry.pending_sends[attempt] = PendingSend(send, expires_at_ms)\n"
                "        self.wakeups.schedule(expires_at_ms, entry.request.request)\n"
            ),
            (
                "        entry.outstanding_attempts.add(len(entry.dispatched_attempts))\n"
                "        entry.dispatched_attempts.append(attempt)\n"
                "        self.builder.actions.append(send)\n"
            ),
        ),
    ),
    shared_state_mutant(
        "lease-unchecked",
        "a right won goes out though the lease has run out",
        "lease",
        "answers",
        REQUEST_JOURNAL,
        ("        return self.holds_lease(now)\n", "        return True\n"),
    ),
    shared_state_mutant(
        "told-unrecorded",
        "the client is told before its answer is recorded",
        "one-answer",
        "lives",
        REQUEST_JOURNAL,
        (
            "        self.wakeups.schedule(entry.hold_until_ms, entry.request.request)\n",
            (
                "        self.wakeups.schedule(entry.hold_until_ms, entry.request.request)\n"
                "        self.answers.answer_once(entry, entry.final_response.action)\n"
            ),
        ),
        time_advances=4,
    ),
    shared_state_mutant(
        "served-is-failed",
        "an ask for a recorded answer is answered as failed",
        "one-answer",
        "clients",
        DUPLICATE_WAITERS,
        (
            "self.answer_all(builder, request_id, RequestState.SERVED, response)",
            "self.answer_all(builder, request_id, RequestState.SERVED, None)",
        ),
    ),
    shared_state_mutant(
        "open-is-ended",
        "an ask for work in hand takes it as failed",
        "one-answer",
        "clients",
        REQUEST_JOURNAL,
        (
            "self.waiters.resolve(self.builder, entry.request_id, record.state, found.version)",
            "self.waiters.answer_all(self.builder, entry.request_id, RequestState.FAILED, None)",
        ),
    ),
    shared_state_mutant(
        "id-started-again",
        "an id that is known is started once more",
        "one-adopter executed one-answer",
        "clients",
        REQUEST_JOURNAL,
        (
            "elif record.was_never_executed and entry.final_response is None:",
            "elif entry.final_response is None:",
        ),
    ),
    shared_state_mutant(
        "sealed-silent",
        "a sealed life answers none of its clients",
        "answers",
        "lives",
        REQUEST_JOURNAL,
        (
            (
                "        for entry in self.table.owned():\n"
                "            self.answers.answer_once(entry, Fail(entry.request.request))\n"
            ),
            "        for entry in self.table.owned():\n",
        ),
    ),
    # Taking over
    # The decisions refuse it too, so that they are not notified either of what may have run.
    shared_state_mutant(
        "unsafe-adopted",
        "unsafe work whose right was won is begun anew",
        "executed effects",
        "lives",
        "meadowpulley.takeover",
        (
            (
                "    if record.grants and request_class.effect is Effect.NON_IDEMPOTENT:\n"
                "        return RequestState.FAILED\n"
            ),
            "",
        ),
        ("            prior_attempts=adoption.prior_attempts(claim.observed),\n", ""),
        time_advances=4,
    ),
    shared_state_mutant(
        "refused-though-run",
        "unsafe work whose right was won is refused",
        "effects",
        "lives",
        ADOPTION,
        (
            (
                "    if record.grants and request_class.effect is Effect.NON_IDEMPOTENT:\n"
                "        return RequestState.FAILED\n"
            ),
            (
                "    if record.grants and request_class.effect is Effect.NON_IDEMPOTENT:\n"
                "        return RequestState.REJECTED\n"
            ),
        ),
        time_advances=4,
    ),
    shared_state_mutant(
        "takes-from-the-living",
        "work of a suspected life is taken before that is sealed",
        "one-adopter",
        "lives",
        LEDGER_VIEW,
        ("ended = self.update_member(member)", "ended = [*self.update_member(member), member.incarnation]"),
    ),
    shared_state_mutant(
        "death-missed",
        "the end of a life is passed over",
        "work-ends",
        "lives",
        LEDGER_VIEW,
        (
            "        ended = [incarnation] if member.fenced else []\n",
            "        ended: list[Incarnation] = []\n",
        ),
    ),
    shared_state_mutant(
        "rights-forgotten",
        "a claim forgets which attempts may have run",
        "effects",
        "keyed",
        CLAIM,
        (
            "MAX_DURATION_MS),\n            grants=self.grants,\n",
            "MAX_DURATION_MS),\n            grants=(),\n",
        ),
    ),
    shared_state_mutant(
        "lives-uncounted",
        "a claim does not count",
        "one-adopter",
        "lives",
        CLAIM,
        ("owner_count=record.owner_count + 1,", "owner_count=record.owner_count,"),
    ),
    shared_state_mutant(
        "claim-not-ended",
        "work that ends by a claim is left as it was",
        "work-ends timers",
        "lives",
        CLAIM,
        ("            state=self.target_state,\n", ""),
    ),
    # Lending
    shared_state_mutant(
        "floors-lent-too",
        "floors are lent as well",
        "lent",
        "lent",
        ALLOCATOR,
        (
            "pool = self.plan.usable_per_s - self.reservations.reserved_floors(now)",
            "pool = self.plan.usable_per_s",
        ),
    ),
    shared_state_mutant(
        "free-early",
        "a grant counts as free before its holder's term is over",
        "lent",
        "stands",
        RESERVATIONS,
        (
            "return observed.observed_at + self.plan.observer_term_ms",
            "return observed.observed_at + 0.3 * self.plan.observer_term_ms",
        ),
        time_advances=4,
    ),
    shared_state_mutant(
        "held-forgotten",
        "what a gateway went by before counts no more once it is granted less",
        "lent",
        "lent",
        ALLOCATOR,
        ("reserved=max(total, reservation.usable),", "reserved=total,"),
        requests=2,
        time_advances=4,
    ),
    shared_state_mutant(
        "goes-by-any",
        "a lesser grant counts before its gateway goes by it",
        "lent",
        "lent",
        RESERVATIONS,
        (
            "return report.incarnation == grant.incarnation and report.acknowledged_round >= "
            "grant.round_number",
            "return report.incarnation == grant.incarnation",
        ),
        requests=2,
        time_advances=3,
    ),
    shared_state_mutant(
        "grant-from-hearing",
        "a grant counts from the moment it is heard of",
        "lent",
        "stands",
        QUOTA_CLIENT,
        (
            "self.enforcer.apply_grant(now, grant, started_at + plan.holder_term_ms(grant.term_ms))",
            "self.enforcer.apply_grant(now, grant, now + 2 * plan.holder_term_ms(grant.term_ms))",
        ),
        time_advances=4,
    ),
)
