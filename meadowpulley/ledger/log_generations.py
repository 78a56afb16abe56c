"""The generations of the log: numbered files in the ledger's folder, each begun with a header and a state.

A generation is written to a draft and linked into place by whichever process is first; the others find it.
"""

from __future__ import annotations

import contextlib
import errno
import os
import re
import uuid

from meadowpulley.ledger.errors import LedgerUnusableError
from meadowpulley.ledger.failpoints import FailpointHook
from meadowpulley.ledger.framing import encode_frame
from meadowpulley.ledger.lease_files import LEASES_FOLDER
from meadowpulley.ledger.log_entries import GenerationHeader, encode
from meadowpulley.ledger.memory import MemoryStore

GENERATION_PREFIX = "log."
DRAFT_PREFIX = "draft."
GENERATION_PATTERN = re.compile(r"log\.\d{8}")


def write_all(fd: int, data: bytes) -> None:
    """Write `data` by one system call. Raises OSError if the disk has no room for all of it."""
    written = os.write(fd, data)
    if written < len(data):
        # The kernel reports a full disk as a short write, and as an error only at the next one.
        raise OSError(errno.ENOSPC, f"{written} of {len(data)} bytes written")


def generation_file_name(generation: int) -> str:
    """Return the name of the file of a generation."""
    return f"{GENERATION_PREFIX}{generation:08d}"


class GenerationFolder:
    """The files of the log in the ledger's folder.

    `folder_fd` is the descriptor of that folder, `path` its name for messages.
    """

    def __init__(self, folder_fd: int, path: str, failpoint: FailpointHook) -> None:
        self._folder_fd = folder_fd
        self._path = path
        self._failpoint = failpoint

    def list_generations(self) -> list[int]:
        """Return the numbers of the generations, rising.

        Raises `LedgerUnusableError` if there is none and the folder holds something else.
        """
        names = os.listdir(self._folder_fd)
        generations = sorted(
            int(name.removeprefix(GENERATION_PREFIX)) for name in names if GENERATION_PATTERN.fullmatch(name)
        )
        foreign = [name for name in names if not name.startswith(DRAFT_PREFIX) and name != LEASES_FOLDER]
        if foreign and not generations:
            raise LedgerUnusableError(f"ledger: {self._path} holds '{min(foreign)}': name an empty folder")
        return generations

    def open(self, generation: int) -> int | None:
        """Return a descriptor of the file of a generation; None if it is not the newest one any more."""
        try:
            fd = os.open(generation_file_name(generation), os.O_RDWR | os.O_APPEND, dir_fd=self._folder_fd)
        except FileNotFoundError:
            return None
        if self.list_generations()[-1:] != [generation]:
            os.close(fd)  # a late process has linked it again, or it has just ended
            return None
        return fd

    def create(self, header: GenerationHeader, state: MemoryStore) -> None:
        """Put the file of a generation into place, unless another process has."""
        draft = f"{DRAFT_PREFIX}{uuid.uuid4().hex}"
        fd = os.open(draft, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600, dir_fd=self._folder_fd)
        try:
            write_all(fd, encode_frame(encode(header)) + encode_frame(encode(state)))
            os.fsync(fd)
            self._failpoint("roll.written")
            self._link(draft, generation_file_name(header.generation))
        finally:
            os.close(fd)
            with contextlib.suppress(FileNotFoundError):
                os.unlink(draft, dir_fd=self._folder_fd)

    def _link(self, draft: str, file_name: str) -> None:
        # Another process may have linked its own, or removed the draft after the log went on without us.
        with contextlib.suppress(FileExistsError, FileNotFoundError):
            os.link(draft, file_name, src_dir_fd=self._folder_fd, dst_dir_fd=self._folder_fd)
            os.fsync(self._folder_fd)
            self._failpoint("roll.linked")

    def remove_before(self, file_name: str) -> None:
        """Remove the drafts, and the generations before that file."""
        for name in os.listdir(self._folder_fd):
            is_old = name.startswith(GENERATION_PREFIX) and name < file_name
            if is_old or name.startswith(DRAFT_PREFIX):
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(name, dir_fd=self._folder_fd)
