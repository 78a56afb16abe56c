"""The log of an on-disk ledger, which all processes append to and read.

The log needs no locks. An append is one write at the end of the file, and the kernel puts the writes of all
processes in order. The result of a proposal depends only on the entries before it, so every reader computes
the same result. The log is split into generations, one file each. When a generation has grown too large, a
process appends an `EndEntry`. Proposals after the `EndEntry` have no effect and are appended again to the
next generation, which starts with the state at the `EndEntry`.
"""

from __future__ import annotations

import contextlib
import os
import uuid
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from meadowpulley.ledger.errors import LedgerError, LedgerUnusableError
from meadowpulley.ledger.failpoints import FailpointHook
from meadowpulley.ledger.framing import CorruptFrame, Frame, FrameReader, encode_frame
from meadowpulley.ledger.log_entries import (
    CommitEntry,
    EndEntry,
    GenerationHeader,
    Proposal,
    RegisterEntry,
    apply_commit,
    apply_registration,
    decode,
    encode,
    state_after_machine_crash,
)
from meadowpulley.ledger.log_generations import GenerationFolder, generation_file_name, write_all
from meadowpulley.ledger.memory import MemoryStore
from meadowpulley.ledger.records import Incarnation
from meadowpulley.ledger.store import SkippedFrame
from meadowpulley.ledger.transactions import Transaction, TransactionResult

READ_CHUNK_BYTES = 1 << 20
# A generation ends when it exceeds both `max_bytes` and this multiple of its initial size.
MAX_GROWTH_FACTOR = 4
MAX_OPEN_ATTEMPTS = 100  # opening the newest generation fails if another process has just started a newer one

PROCESS_ID_LENGTH = 12  # characters of the random process id in a proposal id


@dataclass(slots=True)
class AppliedProposal:
    """The result of a proposal: its transaction results, or whether its incarnation was registered."""

    proposal_id: str
    results: list[TransactionResult] = field(default_factory=list)
    registered: bool = False


@dataclass(frozen=True, slots=True)
class LogSettings:
    """A process's settings for the log; `sync` must be the same in all processes of an installation.

    If `installation` is empty, that of the existing log is used, or a random one for a new log. `boot_id`
    identifies the current boot of the machine.
    """

    installation: str
    sync: bool  # whether acknowledged transactions survive a crash of the machine
    max_bytes: int
    boot_id: str


def read_boot_id() -> str:
    """Return the kernel's identifier of the current boot of the machine."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


@dataclass(slots=True)
class _GenerationProgress:
    """The progress of reading the file of one generation."""

    reader: FrameReader = field(default_factory=FrameReader)
    state_loaded: bool = False  # whether its initial state was read; proposals before it are ignored
    ended: bool = False  # whether its `EndEntry` was read; entries after it are ignored
    size_bytes: int = 0
    initial_size_bytes: int = 0  # size of the file up to and including the initial state
    read_error: str = ""  # the error that stopped reading permanently; empty if there was none


class SharedLog:
    """The log, and the state of the ledger after the last entry that was read.

    `folder_fd` is the file descriptor of the ledger's folder; `path` is its path, for messages.

    Raises:
        LedgerUnusableError: the folder holds no valid log of this installation, format and `sync` setting.
    """

    def __init__(self, folder_fd: int, path: str, settings: LogSettings, failpoint: FailpointHook) -> None:
        self._path = path
        self._settings = settings
        self._failpoint = failpoint
        self._folder = GenerationFolder(folder_fd, path, failpoint)
        self._fd = -1
        self.file_name = ""
        self.skipped_frames: list[SkippedFrame] = []  # torn frames that were skipped and not reported yet
        self.state = MemoryStore()
        self.header = GenerationHeader("", 0, settings.sync, settings.boot_id)
        self._generation = _GenerationProgress()
        self._process_id = uuid.uuid4().hex[:PROCESS_ID_LENGTH]
        self._proposal_count = 0
        self._open_newest()
        if self.header.boot_id != settings.boot_id:
            self._end_generation()

    # Opening and ending generations of the log

    def _list_generations(self) -> list[int]:
        generations = self._folder.list_generations()
        if self.header.generation and not generations:
            raise LedgerError(f"ledger: {self._path} was emptied: start all gateways again")
        return generations

    def _open_newest(self) -> None:
        """Open the newest generation and read it to its end; create the first one if there is none."""
        for _ in range(MAX_OPEN_ATTEMPTS):
            generations = self._list_generations()
            if not generations:
                self._create_first()
                continue
            fd = self._folder.open(generations[-1])
            if fd is not None:
                self._read_generation(fd, generation_file_name(generations[-1]))
                return
        raise LedgerError(f"ledger: {self._path}: its log files change too fast for this process to follow")

    def _create_first(self) -> None:
        installation = self._settings.installation or uuid.uuid4().hex
        header = GenerationHeader(installation, 1, self._settings.sync, self._settings.boot_id)
        self._folder.create(header, MemoryStore())

    def _read_generation(self, fd: int, file_name: str) -> None:
        self.close()
        self._fd = fd
        self.file_name = file_name
        self._generation = _GenerationProgress()
        try:
            self.read_new_entries()
            if not self._generation.state_loaded:
                raise LedgerUnusableError(
                    f"ledger: {self._path}/{file_name} holds no ledger: name another folder"
                )
        except BaseException:  # close the descriptor whatever interrupts the reading
            self.close()
            raise

    def _end_generation(self) -> None:
        write_all(self._fd, encode_frame(encode(EndEntry())))
        self._failpoint("roll.ended")
        self.read_new_entries()
        self._open_next_generation()

    def _open_next_generation(self) -> None:
        """Switch to the next generation; create it if no other process has done so."""
        state = state_after_machine_crash(self.state) if self._lost_by_machine_crash() else self.state
        header = GenerationHeader(
            self.header.installation,
            self.header.generation + 1,
            self.header.sync,
            self._settings.boot_id,
        )
        if header.generation > self._list_generations()[-1]:
            self._folder.create(header, state)
        self._open_newest()
        self._failpoint("roll.opened")
        self._folder.remove_before(self.file_name)

    def _lost_by_machine_crash(self) -> bool:
        """Return whether the log was written without `sync` and the machine has rebooted since."""
        return not self.header.sync and self.header.boot_id != self._settings.boot_id

    # Appending proposals

    def register(self, incarnation: Incarnation, term_ms: float) -> bool:
        """Propose a new incarnation, and always sync it to disk; return whether it was registered."""
        entry = RegisterEntry(incarnation, self._next_proposal_id(), term_ms)
        return self._propose(entry, sync=True).registered

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        """Propose transactions, synced to disk if `sync` is set; return their results."""
        entry = CommitEntry(incarnation, self._next_proposal_id(), tuple(transactions))
        return self._propose(entry, sync=self._settings.sync).results

    def _next_proposal_id(self) -> str:
        self._proposal_count += 1
        return f"{self._process_id}.{self._proposal_count}"

    def _propose(self, entry: Proposal, sync: bool) -> AppliedProposal:
        """Append an entry and return its result; repeat in the next generation if this one has ended."""
        data = encode_frame(encode(entry))
        while True:
            self._append(data, sync)
            applied = self.read_new_entries(entry.proposal_id)
            self._failpoint("log.read")
            if applied is not None:
                self._end_generation_if_grown()
                return applied
            if not self._generation.ended:
                raise LedgerError(
                    f"ledger: {self._path}/{self.file_name} has lost an entry: create a new ledger"
                )
            self._open_next_generation()

    def _append(self, data: bytes, sync: bool) -> None:
        self._failpoint("log.append")
        write_all(self._fd, data)
        self._failpoint("log.appended")
        if sync:
            os.fdatasync(self._fd)
            self._failpoint("log.synced")

    def _end_generation_if_grown(self) -> None:
        limit = max(self._settings.max_bytes, MAX_GROWTH_FACTOR * self._generation.initial_size_bytes)
        if self._generation.ended or self._generation.size_bytes <= limit:
            return
        with contextlib.suppress(OSError):  # the proposal has succeeded; the next call reports the error
            self._end_generation()

    # Reading and applying entries

    def read_new_entries(self, proposal_id: str = "") -> AppliedProposal | None:
        """Apply the entries that were appended since the last call.

        Return the result of the proposal with the given id, or None if it was not among them.
        """
        own: AppliedProposal | None = None
        if self._generation.read_error:
            raise LedgerUnusableError(self._generation.read_error)
        while not self._generation.ended and (data := self._read_chunk()):
            try:
                for applied in self._apply_chunk(data):
                    if proposal_id and applied.proposal_id == proposal_id:
                        own = applied
            except Exception as error:  # after any failed frame, later frames must not be applied
                self._generation.read_error = str(error)
                raise
            self._generation.size_bytes = self._generation.reader.offset
        return own

    def _apply_chunk(self, data: bytes) -> Iterator[AppliedProposal]:
        """Apply the frames that end in `data`, up to the `EndEntry`; yield the results of proposals."""
        for frame in self._generation.reader.feed(data):
            if self._generation.ended:
                continue  # the loop continues so that the reader counts the remaining bytes
            applied = self._apply_frame(frame)
            if applied is not None:
                yield applied

    def _read_chunk(self) -> bytes:
        return os.pread(self._fd, READ_CHUNK_BYTES, self._generation.reader.offset)

    def catch_up(self) -> None:
        """Apply all entries that were appended since the last call, including those in newer generations."""
        self.read_new_entries()
        while self._generation.ended:
            self._open_next_generation()
        if os.fstat(self._fd).st_nlink == 0:
            self.read_new_entries()  # processes remove a generation only after it has ended
            if not self._generation.ended:
                raise LedgerError(
                    f"ledger: {self._path}/{self.file_name} was removed:"
                    " put it back and start the gateway again"
                )
            self.catch_up()

    def _apply_frame(self, frame: Frame) -> AppliedProposal | None:
        if isinstance(frame.payload, CorruptFrame):
            self._skip_corrupt_frame(frame.payload, frame.start)
            return None
        try:
            entry = decode(frame.payload)
        except ValueError as error:
            raise LedgerUnusableError(
                f"ledger: {self._location(frame.start)}: {error}: name another folder"
            ) from None
        if isinstance(entry, GenerationHeader):
            self._check_header(entry)
        elif isinstance(entry, MemoryStore):
            self.state = entry
            self._generation.state_loaded = True
            self._generation.initial_size_bytes = self._generation.reader.offset
        elif isinstance(entry, EndEntry):
            self._generation.ended = True
        elif self._generation.state_loaded:
            return self._apply_proposal(entry)
        return None

    def _location(self, offset: int) -> str:
        return f"{self._path}/{self.file_name}, byte {offset}"

    def _apply_proposal(self, entry: Proposal) -> AppliedProposal:
        if isinstance(entry, RegisterEntry):
            return AppliedProposal(entry.proposal_id, registered=apply_registration(self.state, entry))
        return AppliedProposal(entry.proposal_id, apply_commit(self.state, entry))

    def _skip_corrupt_frame(self, reason: CorruptFrame, offset: int) -> None:
        """Skip a torn frame; reject a damaged one, except after a machine crash without `sync`.

        In that case nothing had to survive, so the damaged frame ends the generation.
        """
        if reason is CorruptFrame.TORN:
            self.skipped_frames.append(SkippedFrame(self.file_name, offset))
        elif self._generation.state_loaded and self._lost_by_machine_crash():
            self._generation.ended = True
        else:
            raise LedgerUnusableError(
                f"ledger: {self._location(offset)}: damaged: move it away and start with an empty folder"
            )

    def _check_header(self, header: GenerationHeader) -> None:
        expected = self._settings.installation or self.header.installation or header.installation
        if header.installation != expected:
            mismatch = f"is of installation {header.installation}, not {expected}"
            raise LedgerUnusableError(f"ledger: {self._path} {mismatch}: name the right folder")
        if header.sync != self._settings.sync:
            sync_mode = "with" if header.sync else "without"
            raise LedgerUnusableError(
                f"ledger: {self._path} was created {sync_mode} SYNC: set it to the same value in all gateways"
            )
        self.header = header

    def close(self) -> None:
        """Close the file of the present generation."""
        if self._fd >= 0:
            os.close(self._fd)
        self._fd = -1
