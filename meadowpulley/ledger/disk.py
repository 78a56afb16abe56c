"""A ledger on a local disk, shared by the processes of one machine.

No process ever waits for a lock of another one, so a process can be stopped or killed at any point without
blocking the rest. Records, registrations and fences are entries of a log that all processes append to
(`shared_log.py`). Lease renewals are frequent, so they are not in the log: the name of a file next to it
holds the renewal number (`lease_files.py`). Fencing an incarnation takes two steps: first its lease file is
renamed so that it can't be renewed, then the fence is appended to the log. If a process ends between the two
steps, another process does the second one. The store does not support network file systems.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace

from meadowpulley.ledger.errors import LedgerError, LedgerUnusableError
from meadowpulley.ledger.failpoints import FailpointHook, no_failpoint
from meadowpulley.ledger.lease_files import LeaseFiles
from meadowpulley.ledger.log_entries import RENEWED_SINCE
from meadowpulley.ledger.records import Changes, Incarnation, Member, Record
from meadowpulley.ledger.shared_log import LogSettings, SharedLog, read_boot_id
from meadowpulley.ledger.store import SkippedFrame
from meadowpulley.ledger.transactions import (
    Fence,
    RenewLease,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    Write,
    check_writes,
)

DEFAULT_MAX_LOG_BYTES = 32 << 20
VALID_NAME = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9._-]{0,63}")


class DiskStore:
    """A `Store` in a folder, for use by one thread at a time.

    With `sync`, acknowledged transactions survive a crash of the machine. Without `sync` they survive the end
    of any process, but a crash of the machine removes all records and fences all incarnations. `installation`
    is the installation that the folder must belong to (empty: any). `machine_boot_id` identifies the current
    boot of the machine (empty: read it from the kernel).

    Raises:
        LedgerUnusableError: the folder can't be opened, read or written; it does not hold a usable ledger;
            or its ledger belongs to another installation or was created with another value of `sync`.
    """

    def __init__(
        self,
        path: str,
        installation: str = "",
        sync: bool = False,
        max_log_bytes: int = DEFAULT_MAX_LOG_BYTES,
        machine_boot_id: str = "",
        failpoint: FailpointHook = no_failpoint,
    ) -> None:
        self._path = path
        self._failpoint = failpoint
        try:
            self._folder_fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        except OSError as error:
            raise LedgerUnusableError(
                f"ledger: {path}: {error.strerror}: make sure that this folder exists, or name another"
            ) from None
        try:
            with self._os_errors_translated():
                settings = LogSettings(installation, sync, max_log_bytes, machine_boot_id or read_boot_id())
                self._log = SharedLog(self._folder_fd, path, settings, failpoint)
                self._lease_files = LeaseFiles(self._folder_fd, failpoint)
                self._lease_files.remove_stale(self._log.state.members_by_name)
        except LedgerError as error:
            os.close(self._folder_fd)
            raise LedgerUnusableError(str(error)) from None

    @property
    def installation(self) -> str:
        """The name of the installation that the ledger belongs to."""
        return self._log.header.installation

    def take_skipped_frames(self) -> list[SkippedFrame]:
        """Return the torn frames that were skipped since the last call."""
        skipped = self._log.skipped_frames
        self._log.skipped_frames = []
        return skipped

    @contextmanager
    def _os_errors_translated(self) -> Iterator[None]:
        """Convert an `OSError` that the block raises into a `LedgerError`."""
        try:
            yield
        except OSError as error:
            raise LedgerError(f"ledger: {self._path}: {error.strerror}: check that disk") from None

    @contextmanager
    def _caught_up(self) -> Iterator[None]:
        """Apply new log entries, then run the block; convert an `OSError` into a `LedgerError`."""
        with self._os_errors_translated():
            self._failpoint("call")
            self._check_folder()
            previous_file = self._log.file_name
            self._log.catch_up()
            if self._log.file_name != previous_file:
                self._lease_files.remove_stale(self._log.state.members_by_name)
            yield

    def _check_folder(self) -> None:
        if not os.path.samestat(os.stat(self._path), os.fstat(self._folder_fd)):
            raise LedgerError(
                f"ledger: {self._path} is another folder now: put it back, or start the gateway again"
            )

    def register(self, name: str, term_ms: float) -> Incarnation:
        """Register a new incarnation; see `Store.register`."""
        if not VALID_NAME.fullmatch(name):
            raise LedgerUnusableError(
                f"ledger: the name '{name}' is invalid: use 1 to 64 characters,"
                " none but A-Z, a-z, 0-9, '_' and '-', and '.' except at the start"
            )
        with self._caught_up():
            previous = self._log.state.members_by_name.get(name)
            incarnation = Incarnation(name, previous.incarnation.epoch + 1 if previous is not None else 1)
            if not self._is_free(previous) or not self._lease_files.acquire(incarnation):
                raise LedgerUnusableError(
                    f"ledger: the name '{name}' is taken by a living gateway: choose another"
                )
            if not self._log.register(incarnation, term_ms):
                raise LedgerUnusableError(
                    f"ledger: the name '{name}' was taken by another process: choose another"
                )
            self._failpoint("begin.begun")
        return incarnation

    def _is_free(self, previous: Member | None) -> bool:
        """Return whether a name may be registered, given its last incarnation (None: the name is new)."""
        return (
            previous is None or previous.fenced or self._lease_files.has_process_ended(previous.incarnation)
        )

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        """Apply each transaction separately; see `Store.commit`."""
        results: list[TransactionResult] = []
        with self._caught_up():
            pending: list[Transaction] = []
            for transaction in transactions:
                if RenewLease() not in transaction.writes:
                    pending.append(transaction)
                    continue
                check_writes(transaction)
                results += self._propose(incarnation, pending)
                pending = []
                results.append(self._renew(incarnation))
            results += self._propose(incarnation, pending)
        return results

    def _is_fenced(self, incarnation: Incarnation) -> bool:
        member = self._log.state.members_by_name.get(incarnation.name)
        return member is None or member.incarnation != incarnation or member.fenced

    def _renew(self, incarnation: Incarnation) -> TransactionResult:
        if self._is_fenced(incarnation) or not self._lease_files.renew(incarnation):
            return TransactionResult(TransactionOutcome.FENCED)
        return TransactionResult(TransactionOutcome.COMMITTED, version=self._log.state.version)

    def _propose(self, incarnation: Incarnation, transactions: list[Transaction]) -> list[TransactionResult]:
        if not transactions:
            return []
        if self._is_fenced(incarnation):
            return [TransactionResult(TransactionOutcome.FENCED)] * len(transactions)
        prepared = [self._with_renewals_stopped(incarnation, transaction) for transaction in transactions]
        return self._log.commit(incarnation, prepared)

    def _with_renewals_stopped(self, incarnation: Incarnation, transaction: Transaction) -> Transaction:
        """Do the first step of each fence in a transaction: stop the renewals of the fenced incarnation."""
        writes = list[Write]()
        for write in transaction.writes:
            writes.append(self._stop_renewals(incarnation, write) if isinstance(write, Fence) else write)
        return Transaction(tuple(writes))

    def _stop_renewals(self, incarnation: Incarnation, fence: Fence) -> Fence:
        """Stop the renewals of an incarnation that will be fenced; return the fence to propose.

        If the transaction then fails for another reason, the incarnation learns at its next renewal that it
        is fenced, and another gateway fences it in the log once its lease has expired.
        """
        if fence.incarnation == incarnation or self._is_fenced(fence.incarnation):
            return fence
        if self._lease_files.fence(fence.incarnation, fence.renewal):
            return fence
        return replace(fence, renewal=RENEWED_SINCE)

    def read(self, key: str) -> Record | None:
        """Return the record with that key, or None if there is none."""
        with self._caught_up():
            return self._log.state.read(key)

    def scan(self, prefix: str) -> list[Record]:
        """Return the records whose keys start with `prefix`, sorted by key."""
        with self._caught_up():
            return self._log.state.scan(prefix)

    def members(self) -> list[Member]:
        """Return the last incarnation of every name, sorted by name."""
        with self._caught_up():
            return [self._current_member(name) for name in sorted(self._log.state.members_by_name)]

    def _current_member(self, name: str) -> Member:
        """Return a member with its current renewal number, which is in the lease files and not in the log."""
        member = self._log.state.members_by_name[name]
        status = None if member.fenced else self._lease_files.read(member.incarnation)
        return replace(member, renewal=status.renewal) if status is not None else member

    def changes(
        self, after_version: int, prefixes: Sequence[str] = ("",), watched_names: Sequence[str] | None = None
    ) -> Changes:
        """Return what changed after a version; see `Store.changes`."""
        with self._caught_up():
            state = self._log.state
            changes = state.changes(after_version, prefixes, ())
            names = {member.incarnation.name for member in changes.members}
            if watched_names is None:
                names.update(state.members_by_name)
            else:
                names.update(name for name in watched_names if name in state.members_by_name)
            members = tuple(self._current_member(name) for name in sorted(names))
            dead = tuple(member.incarnation for member in members if self._is_dead(member))
            return replace(changes, members=members, dead_incarnations=dead)

    def _is_dead(self, member: Member) -> bool:
        return not member.fenced and self._lease_files.has_process_ended(member.incarnation)

    def close(self) -> None:
        """Close the log, release the lease locks of this process, and close the folder."""
        self._log.close()
        self._lease_files.close()
        os.close(self._folder_fd)
