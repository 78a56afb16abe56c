"""The leases of incarnations, as names of files: a renewal is one rename, and so is the end of all renewals.

`lives/NAME.EPOCH/7` says that this incarnation has renewed its lease seven times. It renews by renaming 7 to
8; whoever fences it after seeing 7 renames 7 to `7.sealed`. The kernel lets one of the two succeed, and
nobody holds a lock meanwhile. A lock on the folder, held while the process lives, tells at once when it ends.
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

# Names on the disk are a stored format: they stay as they are.
LEASES_FOLDER = "lives"
FENCED_SUFFIX = ".sealed"
INITIAL_RENEWAL = "0"
MAX_LIST_ATTEMPTS = 50  # of a folder whose only file is just being renamed


class LeaseStatus(NamedTuple):
    """The last renewal of a lease, and whether it can be renewed no more."""

    renewal: int
    fenced: bool


class LeaseFiles:
    """The leases in a ledger's folder, given by its descriptor."""

    def __init__(self, folder_fd: int, failpoint: FailpointHook) -> None:
        self._folder_fd = folder_fd
        self._failpoint = failpoint
        self._locks: dict[Incarnation, int] = {}  # descriptors of the locked folders
        self._own_renewals: dict[Incarnation, int] = {}
        with contextlib.suppress(FileExistsError):
            os.mkdir(LEASES_FOLDER, 0o700, dir_fd=folder_fd)

    def _path(self, incarnation: Incarnation, name: str = "") -> str:
        return f"{LEASES_FOLDER}/{incarnation}/{name}"

    def _open_folder(self, incarnation: Incarnation) -> int:
        return os.open(self._path(incarnation), os.O_RDONLY | os.O_DIRECTORY, dir_fd=self._folder_fd)

    def _rename(self, incarnation: Incarnation, old_name: str, new_name: str) -> bool:
        """Rename a file of a lease; return False if it has another name by now."""
        old_path = self._path(incarnation, old_name)
        new_path = self._path(incarnation, new_name)
        try:
            os.rename(old_path, new_path, src_dir_fd=self._folder_fd, dst_dir_fd=self._folder_fd)
        except FileNotFoundError:
            return False
        return True

    def acquire(self, incarnation: Incarnation) -> bool:
        """Create and lock the lease of an incarnation that is about to be registered.

        Returns False if another process is about to register it.
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
        """Renew an own lease; return False if it can't be renewed any more."""
        renewal = self._own_renewals.get(incarnation)
        if renewal is None or not self._rename(incarnation, str(renewal), str(renewal + 1)):
            return False
        self._own_renewals[incarnation] = renewal + 1
        self._failpoint("renew.renamed")
        return True

    def fence(self, incarnation: Incarnation, renewal: int) -> bool:
        """End the renewals of a lease if `renewal` is its last one.

        Returns whether they are ended at that renewal, by this call or by another process.
        """
        if not self._rename(incarnation, str(renewal), f"{renewal}{FENCED_SUFFIX}"):
            status = self.read(incarnation)
            return status is None or status == LeaseStatus(renewal, True)
        self._failpoint("seal.renamed")
        return True

    def read(self, incarnation: Incarnation) -> LeaseStatus | None:
        """Return the status of a lease; None if it was removed, and so can't be renewed."""
        for _ in range(MAX_LIST_ATTEMPTS):
            try:
                names = os.listdir(f"/proc/self/fd/{self._folder_fd}/{self._path(incarnation)}")
            except FileNotFoundError:
                return None
            if names:
                return max(self._parse_status(name) for name in names)
            time.sleep(0)  # a rename may hide the file from a reader of the folder
        raise LedgerUnusableError(
            f"ledger: {self._path(incarnation)} holds no lease: damaged: put a new one in its place"
        )

    @staticmethod
    def _parse_status(name: str) -> LeaseStatus:
        return LeaseStatus(int(name.removesuffix(FENCED_SUFFIX)), name.endswith(FENCED_SUFFIX))

    def has_process_ended(self, incarnation: Incarnation) -> bool:
        """Return whether the process of an incarnation has ended.

        It tries a shared lock, so that several processes may ask at once.
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
        """Remove the leases of incarnations that are fenced or were followed by another.

        Those of incarnations that are about to be registered stay.
        """
        leases_path = f"/proc/self/fd/{self._folder_fd}/{LEASES_FOLDER}"
        for folder in os.listdir(leases_path):
            name, _, epoch = folder.rpartition(".")
            latest = members.get(name)
            if latest is None or not epoch.isdecimal():
                continue
            if int(epoch) >= latest.incarnation.epoch + latest.fenced:
                continue
            with contextlib.suppress(FileNotFoundError):  # another process removes them, too
                for file_name in os.listdir(f"{leases_path}/{folder}"):
                    os.unlink(f"{leases_path}/{folder}/{file_name}")
                os.rmdir(f"{leases_path}/{folder}")

    def close(self) -> None:
        """Release the locks of the own incarnations."""
        for lock in self._locks.values():
            os.close(lock)
        self._locks.clear()
