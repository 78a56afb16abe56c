"""The in-memory ledger, which defines what each transaction does.

Scenarios, the emulator and the model checker use it as their store. The on-disk store applies every entry of
its log to an instance of it, so that a transaction has the same effect in both stores.
"""

from __future__ import annotations

import copy
from collections.abc import Sequence
from dataclasses import dataclass, replace

from meadowpulley.ledger.errors import LedgerError, LedgerUnusableError
from meadowpulley.ledger.records import Changes, Incarnation, Member, Record
from meadowpulley.ledger.store import SkippedFrame
from meadowpulley.ledger.transactions import (
    CheckVersion,
    Create,
    Fence,
    ReleaseLease,
    Remove,
    Replace,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    Write,
    check_writes,
)

NO_MEMBER = Member(Incarnation("", 0), renewal=0, fenced=True, term_ms=0.0, version=0)
MAX_TOMBSTONES = 4096  # removed keys to remember; a reader that needs older removals is given a snapshot


@dataclass(frozen=True, slots=True)
class _Conflict:
    """The conflict that made a write fail, with the record that the write found, if any."""

    existing: Record | None = None


class _PendingTransaction:
    """The changes of one transaction, which are buffered until all its writes have succeeded.

    Later writes of the transaction see the changes of earlier ones.
    """

    __slots__ = ("changed_members", "members", "records", "store", "version", "writer")

    def __init__(self, store: MemoryStore, writer: Incarnation) -> None:
        self.store = store
        self.writer = writer
        self.version = store.version
        self.records: dict[str, Record | None] = {}
        self.members: dict[str, Member] = {}
        self.changed_members: list[str] = []

    def apply(self, write: Write) -> _Conflict | None:
        """Apply one write; return the conflict if it fails."""
        if isinstance(write, Create | Replace | Remove | CheckVersion):
            return self._apply_to_record(write)
        if isinstance(write, Fence):
            return self._fence(write)
        member = self._member(self.writer.name)
        if isinstance(write, ReleaseLease):
            self._end(member)
        else:
            self._update_member(replace(member, renewal=member.renewal + 1))
        return None

    def _apply_to_record(self, write: Create | Replace | Remove | CheckVersion) -> _Conflict | None:
        key = write.key
        existing = self.records[key] if key in self.records else self.store.records.get(key)
        expected_version = 0 if isinstance(write, Create) else write.version
        if expected_version != (existing.version if existing is not None else 0):
            return _Conflict(existing)
        if isinstance(write, CheckVersion):
            return None
        if existing is None and not isinstance(write, Create):
            return _Conflict()
        self.version += 1
        if isinstance(write, Remove):
            self.records[key] = None
        else:
            self.records[key] = Record(key, write.value, self.version, self.writer)
        return None

    def _fence(self, write: Fence) -> _Conflict | None:
        member = self._member(write.incarnation.name)
        can_be_fenced = (
            member.incarnation == write.incarnation and not member.fenced and write.incarnation != self.writer
        )
        if not can_be_fenced or member.renewal != write.renewal:
            return _Conflict()
        self._end(member)
        return None

    def _end(self, member: Member) -> None:
        self._update_member(replace(member, fenced=True))
        self.changed_members.append(member.incarnation.name)

    def _update_member(self, member: Member) -> None:
        self.version += 1
        self.members[member.incarnation.name] = replace(member, version=self.version)

    def _member(self, name: str) -> Member:
        return self.members.get(name) or self.store.members_by_name.get(name) or NO_MEMBER


class MemoryStore:
    """A `Store` that keeps everything in dictionaries.

    It uses no clock to decide whether an incarnation is alive: `register` accepts a name at once if its last
    incarnation is fenced or is one of `dead_incarnations`, and rejects the name otherwise.
    """

    def __init__(self) -> None:
        self.version = 0
        self.records: dict[str, Record] = {}  # ordered by version
        self.members_by_name: dict[str, Member] = {}
        # The version at which the last incarnation of each name was registered or fenced, in this order.
        self.membership_versions: dict[str, int] = {}
        # Removed keys with the version of their removal, ordered by version.
        self.tombstones: dict[str, int] = {}
        self.compacted_version = 0  # tombstones of removals up to this version have been dropped
        # Incarnations whose process is known to have ended: the on-disk backend detects it, a test sets it.
        self.dead_incarnations: set[Incarnation] = set()
        self.fault = ""  # set by tests: while it is not empty, every call fails with this message

    def _check_fault(self) -> None:
        if self.fault:
            raise LedgerError(self.fault)

    def register(self, name: str, term_ms: float) -> Incarnation:
        """Register a new incarnation; see `Store.register`."""
        self._check_fault()
        previous = self.members_by_name.get(name)
        if previous is not None and not self._has_ended(previous):
            raise LedgerUnusableError(
                f"ledger: the name '{name}' is taken by a living gateway: choose another"
            )
        self.version += 1
        incarnation = Incarnation(name, previous.incarnation.epoch + 1 if previous is not None else 1)
        self.dead_incarnations.discard(Incarnation(name, incarnation.epoch - 1))
        self.members_by_name[name] = Member(incarnation, 0, False, term_ms, self.version)
        self._record_membership_change(name)
        return incarnation

    def _has_ended(self, member: Member) -> bool:
        return member.fenced or member.incarnation in self.dead_incarnations

    def _record_membership_change(self, name: str) -> None:
        self.membership_versions.pop(name, None)
        self.membership_versions[name] = self.version

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        """Apply each transaction separately; see `Store.commit`."""
        self._check_fault()
        return [self._commit_transaction(incarnation, transaction) for transaction in transactions]

    def _commit_transaction(self, incarnation: Incarnation, transaction: Transaction) -> TransactionResult:
        member = self.members_by_name.get(incarnation.name)
        if member is None or member.incarnation != incarnation or member.fenced:
            return TransactionResult(TransactionOutcome.FENCED)
        check_writes(transaction)
        pending = _PendingTransaction(self, incarnation)
        for index, write in enumerate(transaction.writes):
            conflict = pending.apply(write)
            if conflict is not None:
                return TransactionResult(
                    TransactionOutcome.CONFLICT, failed_write_index=index, existing=conflict.existing
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
        """Return the record with that key, or None if there is none."""
        self._check_fault()
        return self.records.get(key)

    def scan(self, prefix: str) -> list[Record]:
        """Return the records whose keys start with `prefix`, sorted by key."""
        self._check_fault()
        keys = [key for key in self.records if key.startswith(prefix)]
        return [self.records[key] for key in sorted(keys)]

    def members(self) -> list[Member]:
        """Return the last incarnation of every name, sorted by name."""
        self._check_fault()
        return [self.members_by_name[name] for name in sorted(self.members_by_name)]

    def changes(
        self, after_version: int, prefixes: Sequence[str] = ("",), watched_names: Sequence[str] | None = None
    ) -> Changes:
        """Return what changed after a version; see `Store.changes`."""
        self._check_fault()
        is_snapshot = after_version < self.compacted_version or not after_version
        since_version = 0 if is_snapshot else after_version
        key_prefixes = tuple(prefixes)
        return Changes(
            self.version,
            is_snapshot,
            self._changed_records(since_version, key_prefixes),
            () if is_snapshot else self._removed_keys(since_version, key_prefixes),
            self._changed_members(since_version, watched_names),
            tuple(sorted(self.dead_incarnations)),
        )

    def _changed_records(self, since_version: int, key_prefixes: tuple[str, ...]) -> tuple[Record, ...]:
        records = list[Record]()
        # Iterate from the newest record, so that the loop can stop at the first unchanged one.
        for record in reversed(self.records.values()):
            if record.version <= since_version:
                break
            if record.key.startswith(key_prefixes):
                records.append(record)
        records.sort(key=lambda record: record.version)
        return tuple(records)

    def _removed_keys(self, since_version: int, key_prefixes: tuple[str, ...]) -> tuple[str, ...]:
        removed_keys = list[str]()
        for key, version in reversed(self.tombstones.items()):
            if version <= since_version:
                break
            if key.startswith(key_prefixes):
                removed_keys.append(key)
        return tuple(sorted(removed_keys))

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

    def take_skipped_frames(self) -> list[SkippedFrame]:
        """Return an empty list: the in-memory store has no log."""
        return []

    def close(self) -> None:
        """Do nothing: the in-memory store holds no resources."""

    def copy(self) -> MemoryStore:
        """Return an independent store with the same content.

        Records and members are immutable, so only the dictionaries and the set are copied.
        """
        duplicate = copy.copy(self)
        duplicate.records = dict(self.records)
        duplicate.members_by_name = dict(self.members_by_name)
        duplicate.membership_versions = dict(self.membership_versions)
        duplicate.tombstones = dict(self.tombstones)
        duplicate.dead_incarnations = set(self.dead_incarnations)
        return duplicate
