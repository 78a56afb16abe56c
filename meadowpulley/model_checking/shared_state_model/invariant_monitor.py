"""The invariants of the shared-state model: what ran at servers, what clients got, who wrote the ledger."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from meadowpulley.ledger import (
    Commit,
    Fence,
    Incarnation,
    Member,
    MemoryStore,
    Record,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.model_checking.properties import Violation
from meadowpulley.model_checking.shared_state_model.configurations import CLASSES, SAFE, UNSAFE
from meadowpulley.takeover.records import RECORD_PREFIX, RequestRecord, RequestState, decode_request_record


class InvariantMonitor:
    """Of all gateways together, by the clients' ids. `broken` is emptied by whoever reads it."""

    def __init__(self) -> None:
        self.executions: dict[str, int] = {}  # how often at servers
        self.possible_executions: dict[str, int] = {}  # attempts whose bytes went out, and that may run yet
        self.answers: dict[str, tuple[str, ...]] = {}  # the answers that clients got, each once
        self.rejected: set[str] = set()  # whose client got a rejection
        # Idempotent ones asked of a fenced incarnation: served without a record.
        self.unjournaled: set[str] = set()
        self.violations: list[Violation] = []

    def copy(self) -> InvariantMonitor:
        """Return an independent copy."""
        duplicate = InvariantMonitor()
        duplicate.executions = dict(self.executions)
        duplicate.possible_executions = dict(self.possible_executions)
        duplicate.answers = dict(self.answers)
        duplicate.rejected = set(self.rejected)
        duplicate.unjournaled = set(self.unjournaled)
        return duplicate

    def form(self) -> tuple[object, ...]:
        """Return the state in canonical form."""
        tables = (self.executions, self.possible_executions, self.answers)
        return (
            *(tuple(sorted(t.items())) for t in tables),
            tuple(sorted(self.rejected)),
            tuple(sorted(self.unjournaled)),
        )

    def report(self, property_name: str, now: float, gateway: int, text: str) -> None:
        """Report that a property does not hold."""
        self.violations.append(Violation(property_name, now, gateway, text))

    # Effects

    def attempt_sent(self, request_id: str) -> None:
        """Note that the bytes of an attempt went out."""
        self.possible_executions[request_id] = self.possible_executions.get(request_id, 0) + 1

    def attempt_abandoned(self, request_id: str) -> None:
        """An attempt that will not run any more."""
        self.possible_executions[request_id] -= 1

    def attempt_executed(self, now: float, request_id: str, request_class: int) -> None:
        """Note that an attempt ran at its server."""
        self.attempt_abandoned(request_id)
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        if request_class == UNSAFE and self.executions[request_id] > 1:
            self.report("executed", now, -1, f"request {request_id} ran {self.executions[request_id]} times")
        if request_id in self.rejected and request_class != SAFE:
            self.report("effects", now, -1, f"request {request_id} was refused, and ran after that")

    # Answers

    def client_answered(
        self, now: float, gateway: int, request_id: str, request_class: int, text: str
    ) -> None:
        """Check an answer that a client gets: `refused`, `failed`, or the body that it is served."""
        if text == "refused":
            may_have_run = self.executions.get(request_id, 0) or self.possible_executions.get(request_id, 0)
            if request_class != SAFE and may_have_run:
                self.report("effects", now, gateway, f"request {request_id} may have run, and is refused")
            self.rejected.add(request_id)
            return
        self.rejected.discard(request_id)
        known_answers = self.answers.get(request_id, ())
        if text not in known_answers:
            self.answers[request_id] = (*known_answers, text)
            if known_answers and request_id not in self.unjournaled:
                self.report(
                    "one-answer",
                    now,
                    gateway,
                    f"request {request_id} was answered {known_answers[0]}, now {text}",
                )

    # The ledger

    def commit(
        self, now: float, gateway: int, store: MemoryStore, author: Incarnation, commit: Commit
    ) -> list[TransactionResult]:
        """Carry a commit out, and check what it did."""
        member = store.members_by_name.get(author.name)
        fenced = member is None or member.incarnation != author or member.fenced
        records_before = dict(store.records)
        version_before = store.version
        members = dict(store.members_by_name)
        results = store.commit(author, commit.transactions)
        for transaction, result in zip(commit.transactions, results, strict=True):
            if result.outcome is TransactionOutcome.COMMITTED:
                self._check_fences(now, gateway, members, transaction.writes)
        any_committed = any(result.outcome is TransactionOutcome.COMMITTED for result in results)
        if fenced and (store.version != version_before or any_committed):
            self.report(
                "sealed", now, gateway, f"incarnation {author} was fenced, and its commit changed the ledger"
            )
        for key, record in store.records.items():
            if key.startswith(RECORD_PREFIX) and records_before.get(key) != record:
                self._check_work(now, gateway, members, records_before.get(key), record)
        return results

    def _check_fences(
        self, now: float, gateway: int, members: Mapping[str, Member], writes: Iterable[object]
    ) -> None:
        """Check that only an incarnation that has not renewed meanwhile is fenced."""
        for write in writes:
            if isinstance(write, Fence) and members[write.incarnation.name].renewal != write.renewal:
                text = f"incarnation {write.incarnation} had renewed, and is fenced"
                self.report("sealed", now, gateway, text)

    def _check_work(
        self,
        now: float,
        gateway: int,
        members: Mapping[str, Member],
        old_record: Record | None,
        new_record: Record,
    ) -> None:
        """Check that work is taken over by one at a time, and that a recorded end stays what it was."""
        if old_record is None:
            return
        old_work = decode_request_record(old_record.value)
        new_work = decode_request_record(new_record.value)
        if old_work.state is RequestState.REJECTED and not old_work.grants and new_work.owner_count == 1:
            return  # it never ran, and is asked anew
        name = f"work {new_record.key[len(RECORD_PREFIX) :]}"
        adopted = old_record.writer != new_record.writer
        finished = old_work.state in (RequestState.SERVED, RequestState.FAILED)
        if finished and (adopted or not new_work.is_final):
            text = f"{name} had ended {old_work.state.value}, and is rewritten"
            self.report("one-answer", now, gateway, text)
        if adopted:
            self._check_adoption(now, gateway, members, old_record, new_record)
        released = not adopted and new_work.state is RequestState.RELEASED
        uncounted = new_work.owner_count < old_work.owner_count and not released
        if uncounted or len(new_work.grants) < self._binding(old_work, new_work):
            self.report("effects", now, gateway, f"{name}: attempts that may have run are forgotten")

    def _check_adoption(
        self,
        now: float,
        gateway: int,
        members: Mapping[str, Member],
        old_record: Record,
        new_record: Record,
    ) -> None:
        """Check that only work of an incarnation that is over is adopted, and that each adoption counts."""
        old_work = decode_request_record(old_record.value)
        new_work = decode_request_record(new_record.value)
        name = f"work {new_record.key[len(RECORD_PREFIX) :]}"
        owner = old_record.writer
        member = members.get(owner.name)
        alive = member is not None and member.incarnation == owner and not member.fenced
        if alive and old_work.state is RequestState.OPEN:
            text = f"{name} of {owner}, which lives, is taken by {new_record.writer}"
            self.report("one-adopter", now, gateway, text)
        if not old_work.is_final and new_work.owner_count != old_work.owner_count + 1:
            text = f"{name}: {old_work.owner_count} lives had it, now {new_work.owner_count}"
            self.report("one-adopter", now, gateway, text)

    @staticmethod
    def _binding(old_work: RequestRecord, new_work: RequestRecord) -> int:
        """Return how many grants must stay: an incarnation takes back only its own, by their outcomes."""
        class_known = any(request_class.name == new_work.class_name for request_class in CLASSES)
        adopted = old_work.owner_count < new_work.owner_count
        return len(old_work.grants) if class_known and adopted and not new_work.is_final else 0
