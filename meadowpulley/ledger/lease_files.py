"""The leases of incarnations, stored as file names: both a renewal and a fence are a single rename.

The file `lives/NAME.EPOCH/7` means that this incarnation has renewed its lease seven times. The incarnation
renews by renaming 7 to 8; a process that fences it after reading 7 renames 7 to `7.sealed`. The kernel lets
only one of the two renames succeed, and neither process needs a lock. Each process also locks the folder of
its incarnation until it exits, so others can detect its end immediately.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from typing import NamedTuple

from meadowpulley.ledger.errors import LedgerUnusableError
from meadowpulley.ledger.failpoints import FailpointHook
from meadowpulley.ledger.records import Incarnation, Member

# These names are part of the stored format, so they must not change.
LEASES_FOLDER = "lives"
FENCED_SUFFIX = ".sealed"
INITIAL_RENEWAL = "0"
MAX_LIST_ATTEMPTS = 50  # a listing may miss the only file of a folder while that file is being renamed


class LeaseStatus(NamedTuple):
    """The last renewal number of a lease, and whether the lease is fenced and so can't be renewed."""

    renewal: int
    fenced: bool


class LeaseFiles:
    """The leases in a ledger's folder; `folder_fd` is the file descriptor of that folder."""

    def __init__(self, folder_fd: int, failpoint: FailpointHook) -> None:
        self._folder_fd = folder_fd
        self._failpoint = failpoint
        # File descriptors of the folders that this process has locked.
        self._locks: dict[Incarnation, int] = {}
        self._own_renewals: dict[Incarnation, int] = {}
        with contextlib.suppress(FileExistsError):
            os.mkdir(LEASES_FOLDER, 0o700, dir_fd=folder_fd)

    def _path(self, incarnation: Incarnation, name: str = "") -> str:
        return f"{LEASES_FOLDER}/{incarnation}/{name}"

    def _open_folder(self, incarnation: Incarnation) -> int:
        return os.open(self._path(incarnation), os.O_RDONLY | os.O_DIRECTORY, dir_fd=self._folder_fd)

    def _rename(self, incarnation: Incarnation, old_name: str, new_name: str) -> bool:
        """Rename the file of a lease; return False if `old_name` does not exist any more."""
        old_path = self._path(incarnation, old_name)
        new_path = self._path(incarnation, new_name)
        try:
            os.rename(old_path, new_path, src_dir_fd=self._folder_fd, dst_dir_fd=self._folder_fd)
        except FileNotFoundError:
            return False
        return True

    def acquire(self, incarnation: Incarnation) -> bool:
        """Create and lock the lease of an incarnation that this process is about to register.

        Return False if another process holds the lock, since it is registering the same incarnation.
        """
        with contextlib.suppress(FileExistsError):
            os.mkdir(self._path(incarnation), 0o700, dir_fd=self._folder_fd)
        lock = self._open_folder(incarnation)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return False
        self._locks[incarnation] = lock
        initial_path = self._path(incarnation, INITIAL_RENEWAL)
        os.close(os.open(initial_path, os.O_CREAT | os.O_WRONLY, 0o600, dir_fd=self._folder_fd))
        self._own_renewals[incarnation] = 0
        self._failpoint("begin.locked")
        return True

    def renew(self, incarnation: Incarnation) -> bool:
        """Renew a lease of this process; return False if it can't be renewed any more."""
        renewal = self._own_renewals.get(incarnation)
        if renewal is None or not self._rename(incarnation, str(renewal), str(renewal + 1)):
            return False
        self._own_renewals[incarnation] = renewal + 1
        self._failpoint("renew.renamed")
        return True

    def fence(self, incarnation: Incarnation, renewal: int) -> bool:
        """Stop further renewals of a lease if `renewal` is its last renewal number.

        Return whether the lease is fenced at that renewal or removed, by this call or by another process.
        """
        if not self._rename(incarnation, str(renewal), f"{renewal}{FENCED_SUFFIX}"):
            status = self.read(incarnation)
            return status is None or status == LeaseStatus(renewal, True)
        self._failpoint("seal.renamed")
        return True

    def read(self, incarnation: Incarnation) -> LeaseStatus | None:
        """Return the status of a lease, or None if it was removed and so can't be renewed."""
        for _ in range(MAX_LIST_ATTEMPTS):
            try:
                names = os.listdir(f"/proc/self/fd/{self._folder_fd}/{self._path(incarnation)}")
            except FileNotFoundError:
                return None
            if names:
                return max(self._parse_status(name) for name in names)
            time.sleep(0)  # the listing may have missed the file because of a concurrent rename
        raise LedgerUnusableError(
            f"ledger: {self._path(incarnation)} holds no lease file; it is damaged: create a new ledger"
        )

    @staticmethod
    def _parse_status(name: str) -> LeaseStatus:
        return LeaseStatus(int(name.removesuffix(FENCED_SUFFIX)), name.endswith(FENCED_SUFFIX))

    def has_process_ended(self, incarnation: Incarnation) -> bool:
        """Return whether the process of an incarnation has ended and so released its lock.

        The check tries to take a shared lock, so that several processes can check at the same time.
        """
        try:
            lock = self._open_folder(incarnation)
        except FileNotFoundError:
            return True
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        finally:
            os.close(lock)
        return True

    def remove_stale(self, members: dict[str, Member]) -> None:
        """Remove the leases of incarnations that are fenced or were replaced by a newer one.

        Keep the leases of incarnations that are about to be registered.
        """
        leases_path = f"/proc/self/fd/{self._folder_fd}/{LEASES_FOLDER}"
        for folder in os.listdir(leases_path):
            name, _, epoch = folder.rpartition(".")
            latest = members.get(name)
            if latest is None or not epoch.isdecimal():
                continue
            if int(epoch) >= latest.incarnation.epoch + latest.fenced:
                continue
            with contextlib.suppress(FileNotFoundError):  # another process may be removing the same lease
                for file_name in os.listdir(f"{leases_path}/{folder}"):
                    os.unlink(f"{leases_path}/{folder}/{file_name}")
                os.rmdir(f"{leases_path}/{folder}")

    def close(self) -> None:
        """Release the locks of this process's incarnations."""
        for lock in self._locks.values():
            os.close(lock)
        self._locks.clear()
