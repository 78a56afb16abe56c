"""The generations of the log: numbered files in the ledger's folder.

Each file starts with a header and the state at that point. A process writes a new generation to a draft file
and then hard-links the draft to the final name. Only the first process to link it succeeds, and all others
use its file.
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
    """Write `data` with one system call; raise `OSError` if not all of it was written."""
    written = os.write(fd, data)
    if written < len(data):
        # On a full disk the kernel performs a short write, and reports an error only for the next write.
        raise OSError(errno.ENOSPC, f"{written} of {len(data)} bytes written")


def generation_file_name(generation: int) -> str:
    """Return the file name of a generation."""
    return f"{GENERATION_PREFIX}{generation:08d}"


class GenerationFolder:
    """The files of the log in the ledger's folder.

    `folder_fd` is the file descriptor of that folder; `path` is its path, for messages.
    """

    def __init__(self, folder_fd: int, path: str, failpoint: FailpointHook) -> None:
        self._folder_fd = folder_fd
        self._path = path
        self._failpoint = failpoint

    def list_generations(self) -> list[int]:
        """Return the numbers of the generations, in ascending order.

        Raises `LedgerUnusableError` if there is no generation but the folder holds other files.
        """
        names = os.listdir(self._folder_fd)
        generations = sorted(
            int(name.removeprefix(GENERATION_PREFIX)) for name in names if GENERATION_PATTERN.fullmatch(name)
        )
        foreign = [name for name in names if not name.startswith(DRAFT_PREFIX) and name != LEASES_FOLDER]
        if foreign and not generations:
            raise LedgerUnusableError(
                f"ledger: {self._path} holds '{min(foreign)}' but no ledger: name an empty folder"
            )
        return generations

    def open(self, generation: int) -> int | None:
        """Open the file of a generation and return its descriptor; None if it is no longer the newest one."""
        try:
            fd = os.open(generation_file_name(generation), os.O_RDWR | os.O_APPEND, dir_fd=self._folder_fd)
        except FileNotFoundError:
            return None
        if self.list_generations()[-1:] != [generation]:
            os.close(fd)  # this generation has just ended, or a delayed process has linked it again
            return None
        return fd

    def create(self, header: GenerationHeader, state: MemoryStore) -> None:
        """Create the file of a generation, unless another process has already created it."""
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
        # Another process may have linked its own draft first, or removed this draft after the log had
        # continued in a later generation.
        with contextlib.suppress(FileExistsError, FileNotFoundError):
            os.link(draft, file_name, src_dir_fd=self._folder_fd, dst_dir_fd=self._folder_fd)
            os.fsync(self._folder_fd)
            self._failpoint("roll.linked")

    def remove_before(self, file_name: str) -> None:
        """Remove all drafts, and the generations that are older than `file_name`."""
        for name in os.listdir(self._folder_fd):
            is_old = name.startswith(GENERATION_PREFIX) and name < file_name
            if is_old or name.startswith(DRAFT_PREFIX):
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(name, dir_fd=self._folder_fd)
