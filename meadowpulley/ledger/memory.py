"""A ledger in memory, for stories, emulator and checker: the meaning of every step, without a disk.

The backend on a disk carries every step out on one of these, so that both mean the same by a step.
"""

from __future__ import annotations

import copy
from collections.abc import Sequence
from dataclasses import replace

from meadowpulley.ledger.model import (
    Changes,
    CheckVersion,
    Create,
    Fence,
    Incarnation,
    LedgerError,
    LedgerUnusableError,
    Member,
    Record,
    ReleaseLease,
    Remove,
    RenewLease,
    Replace,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    Write,
)

NO_MEMBER = Member(Incarnation("", 0), 0, True, 0.0, 0)
MAX_TOMBSTONES = 4096  # keys removed, of which late readers are still told one by one


class _PendingTransaction:
    """What a step would change, seen by its later writes, kept apart until all of it has won."""

    __slots__ = ("changed_members", "members", "records", "store", "version", "writer")

    def __init__(self, store: MemoryStore, writer: Incarnation) -> None:
        self.store, self.writer, self.version = store, writer, store.version
        self.records: dict[str, Record | None] = {}
        self.members: dict[str, Member] = {}
        self.changed_members: list[str] = []

    def apply(self, write: Write) -> tuple[Record | None] | None:
        """Carries a write out, or tells what stood in its way."""
        kind = type(write)
        if kind is Fence or kind is RenewLease or kind is ReleaseLease:
            return self._apply_membership(write)
        assert isinstance(write, Create | Replace | Remove | CheckVersion)
        key = write.key
        existing = self.records[key] if key in self.records else self.store.records.get(key)
        expected_version = 0 if isinstance(write, Create) else write.version
        if expected_version != (existing.version if existing is not None else 0):
            return (existing,)
        if isinstance(write, CheckVersion):
            return None
        if existing is None and kind is not Create:
            return (None,)
        self.version += 1
        new_record = (
            None if isinstance(write, Remove) else Record(key, write.value, self.version, self.writer)
        )
        self.records[key] = new_record
        return None

    def _apply_membership(self, write: Write) -> tuple[Record | None] | None:
        if isinstance(write, RenewLease):
            member = self._member(self.writer.name)
            self._update_member(replace(member, renewal=member.renewal + 1))
            return None
        if isinstance(write, Fence):
            member = self._member(write.incarnation.name)
            can_be_fenced = (
                member.incarnation == write.incarnation
                and not member.fenced
                and write.incarnation != self.writer
            )
            if not can_be_fenced or member.renewal != write.renewal:
                return (None,)
        else:
            member = self._member(self.writer.name)
        self._update_member(replace(member, fenced=True))
        self.changed_members.append(member.incarnation.name)
        return None

    def _update_member(self, member: Member) -> None:
        self.version += 1
        self.members[member.incarnation.name] = replace(member, version=self.version)

    def _member(self, name: str) -> Member:
        return self.members.get(name) or self.store.members_by_name.get(name) or NO_MEMBER


class MemoryStore:
    """`Store` over plain dictionaries. Whether a life still lives is not a matter of time here: `begin` takes
    a name over at once where its last life was sealed or `dead` names it, and refuses it else."""

    def __init__(self) -> None:
        self.version = 0
        self.records: dict[str, Record] = {}  # the last written last
        self.members_by_name: dict[str, Member] = {}
        # Names, and at which version their last life began or was sealed, the last one last.
        self.membership_versions: dict[str, int] = {}
        self.tombstones: dict[str, int] = {}  # keys removed, and at which version
        self.compacted_version = 0  # up to which version removed keys are forgotten
        self.dead_incarnations: set[Incarnation] = (
            set()
        )  # processes known to have ended, as a backend on one machine knows them
        self.fault = ""  # while set, every call fails with it

    def _check_fault(self) -> None:
        if self.fault:
            raise LedgerError(self.fault)

    def register(self, name: str, term_ms: float) -> Incarnation:
        self._check_fault()
        previous = self.members_by_name.get(name)
        if (
            previous is not None
            and not previous.fenced
            and previous.incarnation not in self.dead_incarnations
        ):
            raise LedgerUnusableError(
                f"ledger: the name '{name}' is taken by a living gateway: choose another"
            )
        self.version += 1
        incarnation = Incarnation(name, previous.incarnation.epoch + 1 if previous is not None else 1)
        self.dead_incarnations.discard(Incarnation(name, incarnation.epoch - 1))
        self.members_by_name[name] = Member(incarnation, 0, False, term_ms, self.version)
        self._record_membership_change(name)
        return incarnation

    def _record_membership_change(self, name: str) -> None:
        self.membership_versions.pop(name, None)
        self.membership_versions[name] = self.version

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        self._check_fault()
        return [self._commit_transaction(incarnation, step) for step in transactions]

    def _commit_transaction(self, incarnation: Incarnation, transaction: Transaction) -> TransactionResult:
        member = self.members_by_name.get(incarnation.name)
        if member is None or member.incarnation != incarnation or member.fenced:
            return TransactionResult(TransactionOutcome.FENCED)
        if RenewLease() in transaction.writes and len(transaction.writes) > 1:
            raise ValueError("Renew stands alone in its step")
        pending = _PendingTransaction(self, incarnation)
        for index, write in enumerate(transaction.writes):
            conflict = pending.apply(write)
            if conflict is not None:
                return TransactionResult(
                    TransactionOutcome.CONFLICT, failed_write_index=index, existing=conflict[0]
                )
        self._apply(pending)
        return TransactionResult(TransactionOutcome.COMMITTED, version=self.version)

    def _apply(self, pending: _PendingTransaction) -> None:
        self.version = pending.version
        for key, record in pending.records.items():
            previous = self.records.pop(key, None)
            if record is not None:
                self.records[key] = record
                self.tombstones.pop(key, None)
            elif previous is not None:
                self.tombstones[key] = self.version
        self.members_by_name.update(pending.members)
        for name in pending.changed_members:
            self._record_membership_change(name)
        while len(self.tombstones) > MAX_TOMBSTONES:
            self.compacted_version = self.tombstones.pop(next(iter(self.tombstones)))

    def read(self, key: str) -> Record | None:
        self._check_fault()
        return self.records.get(key)

    def scan(self, prefix: str) -> list[Record]:
        self._check_fault()
        return [self.records[key] for key in sorted(k for k in self.records if k.startswith(prefix))]

    def members(self) -> list[Member]:
        self._check_fault()
        return [self.members_by_name[name] for name in sorted(self.members_by_name)]

    def changes(
        self, after_version: int, prefixes: Sequence[str] = ("",), watched_names: Sequence[str] | None = None
    ) -> Changes:
        self._check_fault()
        is_snapshot = after_version < self.compacted_version or not after_version
        key_prefixes, since_version = tuple(prefixes), 0 if is_snapshot else after_version
        records = list[Record]()
        for record in reversed(self.records.values()):  # the last written first: no look at all that is old
            if record.version <= since_version:
                break
            if record.key.startswith(key_prefixes):
                records.append(record)
        removed_keys = list[str]()
        if not is_snapshot:
            for key, version in reversed(self.tombstones.items()):
                if version <= since_version:
                    break
                if key.startswith(key_prefixes):
                    removed_keys.append(key)
        records.sort(key=lambda r: r.version)
        members = self._changed_members(since_version, watched_names)
        dead = tuple(sorted(self.dead_incarnations))
        return Changes(self.version, is_snapshot, tuple(records), tuple(sorted(removed_keys)), members, dead)

    def _changed_members(self, since_version: int, watched_names: Sequence[str] | None) -> tuple[Member, ...]:
        if watched_names is None:
            names = {name for name, member in self.members_by_name.items() if member.version > since_version}
        else:
            names = {name for name in watched_names if name in self.members_by_name}
            for name, version in reversed(self.membership_versions.items()):
                if version <= since_version:
                    break
                names.add(name)
        return tuple(self.members_by_name[name] for name in sorted(names))

    def take_warnings(self) -> list[str]:
        return []

    def close(self) -> None:
        pass

    def copy(self) -> MemoryStore:
        """An independent one with the same content: values never change, so only the tables are copied."""
        duplicate = copy.copy(self)
        duplicate.records, duplicate.members_by_name, duplicate.membership_versions = (
            dict(self.records),
            dict(self.members_by_name),
            dict(self.membership_versions),
        )
        duplicate.tombstones, duplicate.dead_incarnations = dict(self.tombstones), set(self.dead_incarnations)
        return duplicate
