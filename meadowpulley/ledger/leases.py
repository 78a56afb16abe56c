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

from meadowpulley.ledger.failpoints import Fail
from meadowpulley.ledger.model import Life, Member, RefusedError

FOLDER = "lives"
SEALED = ".sealed"
LOOKS = 50  # at a folder whose only name is just being changed


class Leases:
    def __init__(self, folder: int, fail: Fail) -> None:
        """`folder`: descriptor of the ledger's folder."""
        self._folder, self._fail = folder, fail
        self._locks: dict[Life, int] = {}
        self._mine: dict[Life, int] = {}  # own lives' renewals
        with contextlib.suppress(FileExistsError):
            os.mkdir(FOLDER, 0o700, dir_fd=folder)

    def _path(self, life: Life, name: str = "") -> str:
        return f"{FOLDER}/{life}/{name}"

    def begin(self, life: Life) -> bool:
        """Makes the lease of a life that is about to begin; False if another process is about to begin it."""
        with contextlib.suppress(FileExistsError):
            os.mkdir(self._path(life), 0o700, dir_fd=self._folder)
        lock = os.open(self._path(life), os.O_RDONLY | os.O_DIRECTORY, dir_fd=self._folder)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return False
        self._locks[life] = lock
        os.close(os.open(self._path(life, "0"), os.O_CREAT | os.O_WRONLY, 0o600, dir_fd=self._folder))
        self._mine[life] = 0
        self._fail("begin.locked")
        return True

    def renew(self, life: Life) -> bool:
        """False if it can't be renewed any more."""
        was = self._mine.get(life)
        if was is None:
            return False
        try:
            os.rename(
                self._path(life, str(was)),
                self._path(life, str(was + 1)),
                src_dir_fd=self._folder,
                dst_dir_fd=self._folder,
            )
        except FileNotFoundError:
            return False
        self._mine[life] = was + 1
        self._fail("renew.renamed")
        return True

    def seal(self, life: Life, renewal: int) -> bool:
        """Ends its renewals if the last one was this; True too if somebody had ended them at this one."""
        try:
            os.rename(
                self._path(life, str(renewal)),
                self._path(life, f"{renewal}{SEALED}"),
                src_dir_fd=self._folder,
                dst_dir_fd=self._folder,
            )
        except FileNotFoundError:
            found = self.look(life)
            return found is None or found == (renewal, True)
        self._fail("seal.renamed")
        return True

    def look(self, life: Life) -> tuple[int, bool] | None:
        """Its last renewal and whether they are ended; None if the lease is gone, and can't be renewed."""
        for _ in range(LOOKS):
            try:
                names = os.listdir(f"/proc/self/fd/{self._folder}/{self._path(life)}")
            except FileNotFoundError:
                return None
            if names:
                return max((int(name.removesuffix(SEALED)), name.endswith(SEALED)) for name in names)
            time.sleep(0)  # a rename may pass a reader of the folder by
        raise RefusedError(f"ledger: {self._path(life)} holds no lease: damaged: put a new one in its place")

    def over(self, life: Life) -> bool:
        """Whether its process has ended. A shared lock: several may ask at once."""
        try:
            lock = os.open(self._path(life), os.O_RDONLY | os.O_DIRECTORY, dir_fd=self._folder)
        except FileNotFoundError:
            return True
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        finally:
            os.close(lock)
        return True

    def clear(self, lives: dict[str, Member]) -> None:
        """Removes the leases of lives that are sealed or followed by another; not those about to begin."""
        base = f"/proc/self/fd/{self._folder}/{FOLDER}"
        for folder in os.listdir(base):
            name, _, epoch = folder.rpartition(".")
            last = lives.get(name)
            if last is None or not epoch.isdecimal() or int(epoch) >= last.life.epoch + last.sealed:
                continue
            with contextlib.suppress(FileNotFoundError):  # another clears too
                for inner in os.listdir(f"{base}/{folder}"):
                    os.unlink(f"{base}/{folder}/{inner}")
                os.rmdir(f"{base}/{folder}")

    def close(self) -> None:
        for lock in self._locks.values():
            os.close(lock)
        self._locks.clear()
