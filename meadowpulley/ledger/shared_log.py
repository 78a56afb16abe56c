"""The log of a ledger on a disk: one file that all processes append to and read, in generations.

Nobody locks anything. An append is one write at the end of the file, which the kernel puts in an order;
what became of a proposal follows from what stands before it, so that every reader carries it out alike. A
log that has grown ends with an `End`: whatever was appended after it is void and proposed again in the next
generation, which begins with the state at the `End` and which whoever comes first links into place, the
others finding it.
"""

from __future__ import annotations

import contextlib
import errno
import os
import re
import uuid
from pathlib import Path

from meadowpulley.ledger.failpoints import FailpointHook
from meadowpulley.ledger.framing import CorruptFrame, FrameReader, encode_frame
from meadowpulley.ledger.log_entries import (
    CommitEntry,
    EndEntry,
    GenerationHeader,
    RegisterEntry,
    apply_entry,
    decode,
    encode,
    state_after_machine_crash,
)
from meadowpulley.ledger.memory import MemoryStore
from meadowpulley.ledger.model import LedgerError, LedgerUnusableError, TransactionResult

GENERATION_PREFIX, DRAFT_PREFIX = "log.", "draft."
GENERATION_PATTERN = re.compile(r"log\.\d{8}")
READ_CHUNK_BYTES = 1 << 20
MAX_GROWTH_FACTOR = 4  # the log may grow to so many times the state it began with, or to what is allowed
MAX_OPEN_ATTEMPTS = 100  # to open the newest generation while others begin newer ones

ProposalResult = list[TransactionResult] | bool


def read_boot_id() -> str:
    """Of the machine's present run."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


class SharedLog:
    """`folder` is the descriptor of the ledger's folder, `path` its name for messages."""

    def __init__(
        self,
        folder_fd: int,
        path: str,
        installation: str,
        sync: bool,
        max_bytes: int,
        boot_id: str,
        failpoint: FailpointHook,
    ) -> None:
        self._folder_fd, self._path, self._expected_installation = folder_fd, path, installation
        self._sync, self._max_bytes, self._boot_id, self._failpoint = sync, max_bytes, boot_id, failpoint
        self._fd, self.file_name = -1, ""
        self.torn_frame_warnings: list[str] = []  # where torn lines were passed over, to be told
        self.state, self.header = MemoryStore(), GenerationHeader("", 0, sync, boot_id)
        self._proposal_count, self._process_id = 0, uuid.uuid4().hex[:12]
        self._open_newest()
        if self.header.boot_id != boot_id:
            self._end_generation()

    # Generations

    def _list_generations(self) -> list[int]:
        names = os.listdir(self._folder_fd)
        generations = sorted(
            int(n.removeprefix(GENERATION_PREFIX)) for n in names if GENERATION_PATTERN.fullmatch(n)
        )
        foreign = [n for n in names if not n.startswith(DRAFT_PREFIX) and n != "lives"]
        if foreign and not generations:
            raise LedgerUnusableError(f"ledger: {self._path} holds '{min(foreign)}': name an empty folder")
        if self.header.generation and not generations:
            raise LedgerError(f"ledger: {self._path} was emptied: start all gateways anew")
        return generations

    def _open_newest(self) -> None:
        """The newest generation, read to its end; the first one is made where there is none."""
        for _ in range(MAX_OPEN_ATTEMPTS):
            generations = self._list_generations()
            if not generations:
                header = GenerationHeader(
                    self._expected_installation or uuid.uuid4().hex, 1, self._sync, self._boot_id
                )
                self._create_generation(header, MemoryStore())
                continue
            file_name = f"{GENERATION_PREFIX}{generations[-1]:08d}"
            try:
                fd = os.open(file_name, os.O_RDWR | os.O_APPEND, dir_fd=self._folder_fd)
            except FileNotFoundError:
                continue
            if self._list_generations()[-1:] != generations[-1:]:
                os.close(fd)  # one that a late process put back, or one just ended
                continue
            self.close()
            self._fd, self.file_name, self._reader = fd, file_name, FrameReader()
            self._generation_ended = self._state_loaded = False
            self._read_error = ""
            self._size_bytes = 0
            try:
                self.read_new_entries()
                if not self._state_loaded:
                    raise LedgerUnusableError(
                        f"ledger: {self._path}/{file_name} holds no ledger: name another folder"
                    )
            except BaseException:
                self.close()
                raise
            return
        raise LedgerError(f"ledger: {self._path}: its generations change too fast to follow")

    def _create_generation(self, header: GenerationHeader, state: MemoryStore) -> None:
        """Puts a generation into place, unless another process has."""
        draft, file_name = f"{DRAFT_PREFIX}{uuid.uuid4().hex}", f"{GENERATION_PREFIX}{header.generation:08d}"
        fd = os.open(draft, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600, dir_fd=self._folder_fd)
        try:
            self._write(fd, encode_frame(encode(header)) + encode_frame(encode(state)))
            os.fsync(fd)
            self._failpoint("roll.written")
            # Taken by another, or the draft cleared away as the log had gone on without this process.
            with contextlib.suppress(FileExistsError, FileNotFoundError):
                os.link(draft, file_name, src_dir_fd=self._folder_fd, dst_dir_fd=self._folder_fd)
                os.fsync(self._folder_fd)
                self._failpoint("roll.linked")
        finally:
            os.close(fd)
            with contextlib.suppress(FileNotFoundError):
                os.unlink(draft, dir_fd=self._folder_fd)

    def _end_generation(self) -> None:
        self._write(self._fd, encode_frame(encode(EndEntry())))
        self._failpoint("roll.ended")
        self.read_new_entries()
        self._open_next_generation()

    def _open_next_generation(self) -> None:
        """Goes on in the next generation; makes it, if nobody has."""
        machine_crashed = not self.header.sync and self.header.boot_id != self._boot_id
        state = state_after_machine_crash(self.state) if machine_crashed else self.state
        header = GenerationHeader(
            self.header.installation, self.header.generation + 1, self.header.sync, self._boot_id
        )
        if header.generation > self._list_generations()[-1]:
            self._create_generation(header, state)
        self._open_newest()
        self._failpoint("roll.opened")
        for name in os.listdir(self._folder_fd):
            if name.startswith(DRAFT_PREFIX) or (
                name.startswith(GENERATION_PREFIX) and name < self.file_name
            ):
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(name, dir_fd=self._folder_fd)

    # Lines

    def _write(self, fd: int, data: bytes) -> None:
        if (written := os.write(fd, data)) < len(data):
            raise OSError(errno.ENOSPC, f"{written} of {len(data)} bytes written")

    def propose(
        self, entry_type: type[CommitEntry] | type[RegisterEntry], *fields: object, sync: bool = False
    ) -> ProposalResult:
        """Appends an entry and tells what became of it, made as lasting as the installation wants it."""
        self._proposal_count += 1
        proposal_id = f"{self._process_id}.{self._proposal_count}"
        entry = entry_type(fields[0], proposal_id, *fields[1:])  # type: ignore[arg-type]
        data = encode_frame(encode(entry))
        while True:
            self._failpoint("log.append")
            self._write(self._fd, data)
            self._failpoint("log.appended")
            if self._sync or sync:
                os.fdatasync(self._fd)
                self._failpoint("log.synced")
            result = self.read_new_entries(proposal_id)
            self._failpoint("log.read")
            if result is not None:
                if not self._generation_ended and self._size_bytes > max(
                    self._max_bytes, MAX_GROWTH_FACTOR * self._initial_size
                ):
                    with contextlib.suppress(OSError):  # what was asked for is done; the next one tells of it
                        self._end_generation()
                return result
            if not self._generation_ended:
                raise LedgerError(
                    f"ledger: {self._path}/{self.file_name} has lost an entry: put a new one there"
                )
            self._open_next_generation()

    def read_new_entries(self, proposal_id: str = "") -> ProposalResult | None:
        """Carries out what was appended since; what became of the proposal of that number, if it was met."""
        result: ProposalResult | None = None
        if self._read_error:
            raise LedgerUnusableError(self._read_error)
        while not self._generation_ended and (
            data := os.pread(self._fd, READ_CHUNK_BYTES, self._reader.offset)
        ):
            try:
                for start, frame in self._reader.feed(data):
                    proposal = None if self._generation_ended else self._apply_frame(start, frame)
                    if proposal_id and proposal is not None and proposal[0] == proposal_id:
                        result = proposal[1]
            except Exception as error:
                self._read_error = str(error)  # nothing after a line that could not be read may count
                raise
            self._size_bytes = self._reader.offset
        return result

    def catch_up(self) -> None:
        """As `advance`, into newer generations too."""
        self.read_new_entries()
        while self._generation_ended:
            self._open_next_generation()
        if os.fstat(self._fd).st_nlink == 0:
            self.read_new_entries()  # a generation goes once it has ended
            if not self._generation_ended:
                raise LedgerError(
                    f"ledger: {self._path}/{self.file_name} was removed: put it back and start again"
                )
            self.catch_up()

    def _apply_frame(self, start: int, frame: bytes | CorruptFrame) -> tuple[str, ProposalResult] | None:
        location = f"{self._path}/{self.file_name}, byte {start}"
        if frame is CorruptFrame.TORN:
            self.torn_frame_warnings.append(f"ledger: {location}: a line cut short is passed over")
            return None
        if isinstance(frame, CorruptFrame):
            if self._state_loaded and not self.header.sync and self.header.boot_id != self._boot_id:
                self._generation_ended = True  # nothing was to outlive the machine
                return None
            raise LedgerUnusableError(
                f"ledger: {location}: damaged: put it aside and start with an empty folder"
            )
        try:
            entry = decode(frame)
        except ValueError as error:
            raise LedgerUnusableError(f"ledger: {location}: {error}: name another folder") from None
        if isinstance(entry, GenerationHeader):
            self._check_header(entry)
        elif isinstance(entry, MemoryStore):
            self.state, self._state_loaded, self._initial_size = entry, True, self._reader.offset
        elif isinstance(entry, EndEntry):
            self._generation_ended = True
        elif self._state_loaded:
            return entry.proposal_id, apply_entry(self.state, entry)
        return None

    def _check_header(self, header: GenerationHeader) -> None:
        expected = self._expected_installation or self.header.installation or header.installation
        if header.installation != expected:
            mismatch = f"is of installation {header.installation}, not {expected}"
            raise LedgerUnusableError(f"ledger: {self._path} {mismatch}: name the right folder")
        if header.sync != self._sync:
            sync_mode = "with" if header.sync else "without"
            raise LedgerUnusableError(
                f"ledger: {self._path} was made {sync_mode} SYNC: set it alike in all gateways"
            )
        self.header = header

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
        self._fd = -1
