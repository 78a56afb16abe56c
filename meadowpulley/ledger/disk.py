"""A ledger on a lasting disk, for the processes of one machine: a process stopped or killed anywhere holds
nothing that another waits for.

Records, lives and seals stand in a log that all append to (`log.py`); renewals, which are many, beside it
as names (`leases.py`). A life is sealed in two moves: its lease can't be renewed any more, then the log
says so; whoever dies in between has its second move made by the next. Needs a local file system; not for
use over a network.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace

from meadowpulley.ledger.failpoints import FailpointHook, no_failpoint
from meadowpulley.ledger.lease_files import LeaseFiles
from meadowpulley.ledger.log_entries import CommitEntry, RegisterEntry
from meadowpulley.ledger.model import (
    Changes,
    Fence,
    Incarnation,
    LedgerError,
    LedgerUnusableError,
    Member,
    Record,
    RenewLease,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.ledger.shared_log import SharedLog, read_boot_id

DEFAULT_MAX_LOG_BYTES = 32 << 20
VALID_NAME = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9._-]{0,63}")


class DiskStore:
    """`Store` in a folder. Used by one thread at a time. `sync`: what is answered outlives the machine;
    without it what is answered outlives every process, and the death of the machine sets the ledger back to
    its lives.

    Raises `RefusedError` where the folder can't be used.
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
        self._path, self._failpoint = path, failpoint
        try:
            self._folder_fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        except OSError as error:
            raise LedgerUnusableError(
                f"ledger: {path}: {error.strerror}: make that folder, or name another"
            ) from None
        try:
            with self._os_errors_translated():
                self._log = SharedLog(
                    self._folder_fd,
                    path,
                    installation,
                    sync,
                    max_log_bytes,
                    machine_boot_id or read_boot_id(),
                    failpoint,
                )
                self._lease_files = LeaseFiles(self._folder_fd, failpoint)
                self._lease_files.remove_stale(self._log.state.members_by_name)
        except LedgerError as error:
            os.close(self._folder_fd)
            raise LedgerUnusableError(str(error)) from None

    @property
    def installation(self) -> str:
        return self._log.header.installation

    def take_warnings(self) -> list[str]:
        warnings, self._log.torn_frame_warnings = self._log.torn_frame_warnings, []
        return warnings

    @contextmanager
    def _os_errors_translated(self) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            raise LedgerError(f"ledger: {self._path}: {error.strerror}: see to that disk") from None

    @contextmanager
    def _caught_up(self) -> Iterator[None]:
        """With all that others wrote known; what fails is told in a line."""
        with self._os_errors_translated():
            self._failpoint("call")
            path_status, folder_status = os.stat(self._path), os.fstat(self._folder_fd)
            if (path_status.st_dev, path_status.st_ino) != (folder_status.st_dev, folder_status.st_ino):
                raise LedgerError(f"ledger: {self._path} is another folder now: put it back, or start again")
            previous_file = self._log.file_name
            self._log.catch_up()
            if self._log.file_name != previous_file:
                self._lease_files.remove_stale(self._log.state.members_by_name)
            yield

    def register(self, name: str, term_ms: float) -> Incarnation:
        if not VALID_NAME.fullmatch(name):
            raise LedgerUnusableError(
                f"ledger: the name '{name}' is none of letters, digits, '.', '_' and '-'"
            )
        with self._caught_up():
            previous = self._log.state.members_by_name.get(name)
            incarnation = Incarnation(name, previous.incarnation.epoch + 1 if previous is not None else 1)
            is_free = (
                previous is None
                or previous.fenced
                or self._lease_files.has_process_ended(previous.incarnation)
            )
            if not is_free or not self._lease_files.acquire(incarnation):
                raise LedgerUnusableError(
                    f"ledger: the name '{name}' is taken by a living gateway: choose another"
                )
            if not self._log.propose(RegisterEntry, incarnation, term_ms, sync=True):
                raise LedgerUnusableError(f"ledger: the name '{name}' was taken meanwhile: choose another")
            self._failpoint("begin.begun")
        return incarnation

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        results: list[TransactionResult] = []
        with self._caught_up():
            pending: list[Transaction] = []
            for transaction in transactions:
                if RenewLease() not in transaction.writes:
                    pending.append(transaction)
                    continue
                if len(transaction.writes) > 1:
                    raise ValueError("Renew stands alone in its step")
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
        prepared = tuple(
            Transaction(
                tuple(self._stop_renewals(incarnation, w) if isinstance(w, Fence) else w for w in step.writes)
            )
            for step in transactions
        )
        results = self._log.propose(CommitEntry, incarnation, prepared)
        assert not isinstance(results, bool)
        return results

    def _stop_renewals(self, incarnation: Incarnation, fence: Fence) -> Fence:
        """Ends the renewals of a life that is to be sealed. Where its step then loses for another reason,
        that life finds itself sealed at its next renewal, and somebody seals it on missing that."""
        if (
            fence.incarnation != incarnation
            and not self._is_fenced(fence.incarnation)
            and not self._lease_files.fence(fence.incarnation, fence.renewal)
        ):
            return replace(fence, renewal=-1)
        return fence

    def read(self, key: str) -> Record | None:
        with self._caught_up():
            return self._log.state.read(key)

    def scan(self, prefix: str) -> list[Record]:
        with self._caught_up():
            return self._log.state.scan(prefix)

    def members(self) -> list[Member]:
        with self._caught_up():
            return [self._current_member(name) for name in sorted(self._log.state.members_by_name)]

    def _current_member(self, name: str) -> Member:
        member = self._log.state.members_by_name[name]
        lease = None if member.fenced else self._lease_files.read(member.incarnation)
        return replace(member, renewal=lease[0]) if lease is not None else member

    def changes(
        self, after_version: int, prefixes: Sequence[str] = ("",), watched_names: Sequence[str] | None = None
    ) -> Changes:
        with self._caught_up():
            state = self._log.state
            changes = state.changes(after_version, prefixes, ())
            names = {m.incarnation.name for m in changes.members}
            names.update(
                state.members_by_name
                if watched_names is None
                else state.members_by_name.keys() & set(watched_names)
            )
            members = tuple(self._current_member(name) for name in sorted(names))
            dead = tuple(
                m.incarnation
                for m in members
                if not m.fenced and self._lease_files.has_process_ended(m.incarnation)
            )
            return replace(changes, members=members, dead_incarnations=dead)

    def close(self) -> None:
        self._log.close()
        self._lease_files.close()
        os.close(self._folder_fd)
