"""The log of a ledger on a disk: one file that all processes append to and read, in generations.

No process locks anything. An append is one write at the end of the file, and the kernel puts the writes in
an order. What becomes of a proposal follows from what stands before it, so every reader applies it alike. A
log that has grown ends with an `EndEntry`: proposals appended after it are void and are made again in the
next generation, which begins with the state at the `EndEntry`.
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
MAX_GROWTH_FACTOR = 4  # a generation ends at this many times the size it began with, or at `max_bytes`
MAX_OPEN_ATTEMPTS = 100  # to open the newest generation while other processes begin newer ones

PROCESS_ID_LENGTH = 12  # of the random part of a proposal's id


@dataclass(slots=True)
class AppliedProposal:
    """What became of a proposal: the results of its transactions, or whether it was registered."""

    proposal_id: str
    results: list[TransactionResult] = field(default_factory=list)
    registered: bool = False


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How a process wants the log to be; all processes of an installation agree on `sync`.

    `installation` may be empty: that of an existing log is taken, or a new one is made up. `boot_id` names
    the present run of the machine.
    """

    installation: str
    sync: bool  # whether acknowledged transactions outlive a crash of the machine
    max_bytes: int
    boot_id: str


def read_boot_id() -> str:
    """Return the identifier of the machine's present run."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


@dataclass(slots=True)
class _GenerationProgress:
    """How far the file of one generation was read."""

    reader: FrameReader = field(default_factory=FrameReader)
    state_loaded: bool = False  # whether its first state was read: proposals count only after it
    ended: bool = False  # whether its `EndEntry` was read: nothing after it counts
    size_bytes: int = 0
    initial_size_bytes: int = 0  # up to its first state
    read_error: str = ""  # why nothing more can be read, if so


class SharedLog:
    """The log, and the state of the ledger at its end.

    `folder_fd` is the descriptor of the ledger's folder, `path` its name for messages.

    Raises:
        LedgerUnusableError: the folder holds no log of this installation and format.
    """

    def __init__(self, folder_fd: int, path: str, settings: LogSettings, failpoint: FailpointHook) -> None:
        self._path = path
        self._settings = settings
        self._failpoint = failpoint
        self._folder = GenerationFolder(folder_fd, path, failpoint)
        self._fd = -1
        self.file_name = ""
        self.skipped_frames: list[SkippedFrame] = []  # not reported yet
        self.state = MemoryStore()
        self.header = GenerationHeader("", 0, settings.sync, settings.boot_id)
        self._generation = _GenerationProgress()
        self._process_id = uuid.uuid4().hex[:PROCESS_ID_LENGTH]
        self._proposal_count = 0
        self._open_newest()
        if self.header.boot_id != settings.boot_id:
            self._end_generation()

    # Generations

    def _list_generations(self) -> list[int]:
        generations = self._folder.list_generations()
        if self.header.generation and not generations:
            raise LedgerError(f"ledger: {self._path} was emptied: start all gateways anew")
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
        raise LedgerError(f"ledger: {self._path}: its generations change too fast to follow")

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
        except BaseException:  # whatever interrupts the reading, the descriptor is not leaked
            self.close()
            raise

    def _end_generation(self) -> None:
        write_all(self._fd, encode_frame(encode(EndEntry())))
        self._failpoint("roll.ended")
        self.read_new_entries()
        self._open_next_generation()

    def _open_next_generation(self) -> None:
        """Continue in the next generation; create it if no other process has."""
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
        """Return whether the machine has started again since a log that was not made durable."""
        return not self.header.sync and self.header.boot_id != self._settings.boot_id

    # Proposals

    def register(self, incarnation: Incarnation, term_ms: float) -> bool:
        """Propose a new incarnation, always durably; return whether it was registered."""
        entry = RegisterEntry(incarnation, self._next_proposal_id(), term_ms)
        return self._propose(entry, sync=True).registered

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        """Propose transactions, as durably as the installation wants it; return their results."""
        entry = CommitEntry(incarnation, self._next_proposal_id(), tuple(transactions))
        return self._propose(entry, sync=self._settings.sync).results

    def _next_proposal_id(self) -> str:
        self._proposal_count += 1
        return f"{self._process_id}.{self._proposal_count}"

    def _propose(self, entry: Proposal, sync: bool) -> AppliedProposal:
        """Append an entry, again in each next generation, until it was met at its place in the log."""
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
                    f"ledger: {self._path}/{self.file_name} has lost an entry: put a new one there"
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
        with contextlib.suppress(OSError):  # the proposal has succeeded; the next one reports the error
            self._end_generation()

    # Entries

    def read_new_entries(self, proposal_id: str = "") -> AppliedProposal | None:
        """Apply what was appended since the last call.

        Returns what became of the proposal with that id, or None if it was not met.
        """
        own: AppliedProposal | None = None
        if self._generation.read_error:
            raise LedgerUnusableError(self._generation.read_error)
        while not self._generation.ended and (data := self._read_chunk()):
            try:
                for applied in self._apply_chunk(data):
                    if proposal_id and applied.proposal_id == proposal_id:
                        own = applied
            except Exception as error:  # any failure: nothing after a frame that could not be read may count
                self._generation.read_error = str(error)
                raise
            self._generation.size_bytes = self._generation.reader.offset
        return own

    def _apply_chunk(self, data: bytes) -> Iterator[AppliedProposal]:
        """Apply the frames that end in `data`, up to the end of the generation; yield the proposals."""
        for frame in self._generation.reader.feed(data):
            if self._generation.ended:
                continue  # the reader still counts its bytes
            applied = self._apply_frame(frame)
            if applied is not None:
                yield applied

    def _read_chunk(self) -> bytes:
        return os.pread(self._fd, READ_CHUNK_BYTES, self._generation.reader.offset)

    def catch_up(self) -> None:
        """Apply what was appended since the last call, through newer generations too."""
        self.read_new_entries()
        while self._generation.ended:
            self._open_next_generation()
        if os.fstat(self._fd).st_nlink == 0:
            self.read_new_entries()  # a generation is removed only after it has ended
            if not self._generation.ended:
                raise LedgerError(
                    f"ledger: {self._path}/{self.file_name} was removed: put it back and start again"
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
        """Skip a torn frame; a damaged one is tolerated only where nothing was to outlive the machine."""
        if reason is CorruptFrame.TORN:
            self.skipped_frames.append(SkippedFrame(self.file_name, offset))
        elif self._generation.state_loaded and self._lost_by_machine_crash():
            self._generation.ended = True
        else:
            raise LedgerUnusableError(
                f"ledger: {self._location(offset)}: damaged: put it aside and start with an empty folder"
            )

    def _check_header(self, header: GenerationHeader) -> None:
        expected = self._settings.installation or self.header.installation or header.installation
        if header.installation != expected:
            mismatch = f"is of installation {header.installation}, not {expected}"
            raise LedgerUnusableError(f"ledger: {self._path} {mismatch}: name the right folder")
        if header.sync != self._settings.sync:
            sync_mode = "with" if header.sync else "without"
            raise LedgerUnusableError(
                f"ledger: {self._path} was made {sync_mode} SYNC: set it alike in all gateways"
            )
        self.header = header

    def close(self) -> None:
        """Close the file of the log."""
        if self._fd >= 0:
            os.close(self._fd)
        self._fd = -1
