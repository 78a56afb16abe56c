"""Leases of lives as names in a folder: a renewal is one rename, and so is the end of all renewals.

`lives/NAME.EPOCH/7` says that this life renewed seven times. It renews by renaming 7 to 8; whoever wants to
end it on seeing 7 renames 7 to `7.sealed`. The kernel lets one of the two win, and nobody holds anything
meanwhile. A lock on the folder, held for as long as the process lives, tells at once that it has ended.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time

from meadowpulley.ledger.failpoints import FailpointHook
from meadowpulley.ledger.model import Incarnation, LedgerUnusableError, Member

LEASES_FOLDER = "lives"
FENCED_SUFFIX = ".sealed"
MAX_LIST_ATTEMPTS = 50  # at a folder whose only name is just being changed


class LeaseFiles:
    def __init__(self, folder_fd: int, failpoint: FailpointHook) -> None:
        """`folder`: descriptor of the ledger's folder."""
        self._folder_fd, self._failpoint = folder_fd, failpoint
        self._locks: dict[Incarnation, int] = {}
        self._own_renewals: dict[Incarnation, int] = {}  # own lives' renewals
        with contextlib.suppress(FileExistsError):
            os.mkdir(LEASES_FOLDER, 0o700, dir_fd=folder_fd)

    def _path(self, incarnation: Incarnation, name: str = "") -> str:
        return f"{LEASES_FOLDER}/{incarnation}/{name}"

    def acquire(self, incarnation: Incarnation) -> bool:
        """Makes the lease of a life that is about to begin; False if another process is about to begin it."""
        with contextlib.suppress(FileExistsError):
            os.mkdir(self._path(incarnation), 0o700, dir_fd=self._folder_fd)
        lock = os.open(self._path(incarnation), os.O_RDONLY | os.O_DIRECTORY, dir_fd=self._folder_fd)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return False
        self._locks[incarnation] = lock
        os.close(
            os.open(self._path(incarnation, "0"), os.O_CREAT | os.O_WRONLY, 0o600, dir_fd=self._folder_fd)
        )
        self._own_renewals[incarnation] = 0
        self._failpoint("begin.locked")
        return True

    def renew(self, incarnation: Incarnation) -> bool:
        """False if it can't be renewed any more."""
        renewal = self._own_renewals.get(incarnation)
        if renewal is None:
            return False
        try:
            os.rename(
                self._path(incarnation, str(renewal)),
                self._path(incarnation, str(renewal + 1)),
                src_dir_fd=self._folder_fd,
                dst_dir_fd=self._folder_fd,
            )
        except FileNotFoundError:
            return False
        self._own_renewals[incarnation] = renewal + 1
        self._failpoint("renew.renamed")
        return True

    def fence(self, incarnation: Incarnation, renewal: int) -> bool:
        """Ends its renewals if the last one was this; True too if somebody had ended them at this one."""
        try:
            os.rename(
                self._path(incarnation, str(renewal)),
                self._path(incarnation, f"{renewal}{FENCED_SUFFIX}"),
                src_dir_fd=self._folder_fd,
                dst_dir_fd=self._folder_fd,
            )
        except FileNotFoundError:
            lease = self.read(incarnation)
            return lease is None or lease == (renewal, True)
        self._failpoint("seal.renamed")
        return True

    def read(self, incarnation: Incarnation) -> tuple[int, bool] | None:
        """Its last renewal and whether they are ended; None if the lease is gone, and can't be renewed."""
        for _ in range(MAX_LIST_ATTEMPTS):
            try:
                names = os.listdir(f"/proc/self/fd/{self._folder_fd}/{self._path(incarnation)}")
            except FileNotFoundError:
                return None
            if names:
                return max(
                    (int(name.removesuffix(FENCED_SUFFIX)), name.endswith(FENCED_SUFFIX)) for name in names
                )
            time.sleep(0)  # a rename may pass a reader of the folder by
        raise LedgerUnusableError(
            f"ledger: {self._path(incarnation)} holds no lease: damaged: put a new one in its place"
        )

    def has_process_ended(self, incarnation: Incarnation) -> bool:
        """Whether its process has ended. A shared lock: several may ask at once."""
        try:
            lock = os.open(self._path(incarnation), os.O_RDONLY | os.O_DIRECTORY, dir_fd=self._folder_fd)
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
        """Removes the leases of lives that are sealed or followed by another; not those about to begin."""
        leases_path = f"/proc/self/fd/{self._folder_fd}/{LEASES_FOLDER}"
        for folder in os.listdir(leases_path):
            name, _, epoch = folder.rpartition(".")
            latest = members.get(name)
            if (
                latest is None
                or not epoch.isdecimal()
                or int(epoch) >= latest.incarnation.epoch + latest.fenced
            ):
                continue
            with contextlib.suppress(FileNotFoundError):  # another clears too
                for file_name in os.listdir(f"{leases_path}/{folder}"):
                    os.unlink(f"{leases_path}/{folder}/{file_name}")
                os.rmdir(f"{leases_path}/{folder}")

    def close(self) -> None:
        for lock in self._locks.values():
            os.close(lock)
        self._locks.clear()
