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

from meadowpulley.ledger.entries import Begin, End, Head, Steps, carry_out, decode, encode, set_back
from meadowpulley.ledger.failpoints import Fail
from meadowpulley.ledger.lines import Bad, Lines, frame
from meadowpulley.ledger.memory import MemoryStore
from meadowpulley.ledger.model import Done, LedgerError, RefusedError

NAME, DRAFT = "log.", "draft."
GENERATION = re.compile(r"log\.\d{8}")
CHUNK = 1 << 20
ROOM = 4  # the log may grow to so many times the state it began with, or to what is allowed
TRIES = 100  # to open the newest generation while others begin newer ones

Outcome = list[Done] | bool


def boot_id() -> str:
    """Of the machine's present run."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


class Log:
    """`folder` is the descriptor of the ledger's folder, `path` its name for messages."""

    def __init__(
        self, folder: int, path: str, installation: str, sync: bool, most_bytes: int, boot: str, fail: Fail
    ) -> None:
        self._folder, self._path, self._wanted = folder, path, installation
        self._sync, self._most, self._boot, self._fail = sync, most_bytes, boot, fail
        self._file, self.name = -1, ""
        self.torn: list[str] = []  # where torn lines were passed over, to be told
        self.state, self.head = MemoryStore(), Head("", 0, sync, boot)
        self._numbers, self._process = 0, uuid.uuid4().hex[:12]
        self._open()
        if self.head.boot != boot:
            self._end()

    # Generations

    def _generations(self) -> list[int]:
        names = os.listdir(self._folder)
        there = sorted(int(n.removeprefix(NAME)) for n in names if GENERATION.fullmatch(n))
        strange = [n for n in names if not n.startswith(DRAFT) and n != "lives"]
        if strange and not there:
            raise RefusedError(f"ledger: {self._path} holds '{min(strange)}': name an empty folder")
        if self.head.generation and not there:
            raise LedgerError(f"ledger: {self._path} was emptied: start all gateways anew")
        return there

    def _open(self) -> None:
        """The newest generation, read to its end; the first one is made where there is none."""
        for _ in range(TRIES):
            there = self._generations()
            if not there:
                head = Head(self._wanted or uuid.uuid4().hex, 1, self._sync, self._boot)
                self._link(head, MemoryStore())
                continue
            name = f"{NAME}{there[-1]:08d}"
            try:
                file = os.open(name, os.O_RDWR | os.O_APPEND, dir_fd=self._folder)
            except FileNotFoundError:
                continue
            if self._generations()[-1:] != there[-1:]:
                os.close(file)  # one that a late process put back, or one just ended
                continue
            self.close()
            self._file, self.name, self._lines = file, name, Lines()
            self._ended = self._started = False
            self._broken = ""
            self._size = 0
            try:
                self.advance()
                if not self._started:
                    raise RefusedError(f"ledger: {self._path}/{name} holds no ledger: name another folder")
            except BaseException:
                self.close()
                raise
            return
        raise LedgerError(f"ledger: {self._path}: its generations change too fast to follow")

    def _link(self, head: Head, state: MemoryStore) -> None:
        """Puts a generation into place, unless another process has."""
        draft, name = f"{DRAFT}{uuid.uuid4().hex}", f"{NAME}{head.generation:08d}"
        file = os.open(draft, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600, dir_fd=self._folder)
        try:
            self._write(file, frame(encode(head)) + frame(encode(state)))
            os.fsync(file)
            self._fail("roll.written")
            # Taken by another, or the draft cleared away as the log had gone on without this process.
            with contextlib.suppress(FileExistsError, FileNotFoundError):
                os.link(draft, name, src_dir_fd=self._folder, dst_dir_fd=self._folder)
                os.fsync(self._folder)
                self._fail("roll.linked")
        finally:
            os.close(file)
            with contextlib.suppress(FileNotFoundError):
                os.unlink(draft, dir_fd=self._folder)

    def _end(self) -> None:
        self._write(self._file, frame(encode(End())))
        self._fail("roll.ended")
        self.advance()
        self._follow()

    def _follow(self) -> None:
        """Goes on in the next generation; makes it, if nobody has."""
        lost = not self.head.sync and self.head.boot != self._boot
        state = set_back(self.state) if lost else self.state
        head = Head(self.head.installation, self.head.generation + 1, self.head.sync, self._boot)
        if head.generation > self._generations()[-1]:
            self._link(head, state)
        self._open()
        self._fail("roll.opened")
        for name in os.listdir(self._folder):
            if name.startswith(DRAFT) or (name.startswith(NAME) and name < self.name):
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(name, dir_fd=self._folder)

    # Lines

    def _write(self, file: int, data: bytes) -> None:
        if (done := os.write(file, data)) < len(data):
            raise OSError(errno.ENOSPC, f"{done} of {len(data)} bytes written")

    def propose(self, make: type[Steps] | type[Begin], *fields: object, sync: bool = False) -> Outcome:
        """Appends an entry and tells what became of it, made as lasting as the installation wants it."""
        self._numbers += 1
        number = f"{self._process}.{self._numbers}"
        entry = make(fields[0], number, *fields[1:])  # type: ignore[arg-type]
        data = frame(encode(entry))
        while True:
            self._fail("log.append")
            self._write(self._file, data)
            self._fail("log.appended")
            if self._sync or sync:
                os.fdatasync(self._file)
                self._fail("log.synced")
            outcome = self.advance(number)
            self._fail("log.read")
            if outcome is not None:
                if not self._ended and self._size > max(self._most, ROOM * self._start):
                    with contextlib.suppress(OSError):  # what was asked for is done; the next one tells of it
                        self._end()
                return outcome
            if not self._ended:
                raise LedgerError(f"ledger: {self._path}/{self.name} has lost an entry: put a new one there")
            self._follow()

    def advance(self, number: str = "") -> Outcome | None:
        """Carries out what was appended since; what became of the proposal of that number, if it was met."""
        found: Outcome | None = None
        if self._broken:
            raise RefusedError(self._broken)
        while not self._ended and (data := os.pread(self._file, CHUNK, self._lines.offset)):
            try:
                for at, line in self._lines.feed(data):
                    outcome = None if self._ended else self._line(at, line)
                    if number and outcome is not None and outcome[0] == number:
                        found = outcome[1]
            except Exception as bad:
                self._broken = str(bad)  # nothing after a line that could not be read may count
                raise
            self._size = self._lines.offset
        return found

    def follow(self) -> None:
        """As `advance`, into newer generations too."""
        self.advance()
        while self._ended:
            self._follow()
        if os.fstat(self._file).st_nlink == 0:
            self.advance()  # a generation goes once it has ended
            if not self._ended:
                raise LedgerError(
                    f"ledger: {self._path}/{self.name} was removed: put it back and start again"
                )
            self.follow()

    def _line(self, at: int, line: bytes | Bad) -> tuple[str, Outcome] | None:
        where = f"{self._path}/{self.name}, byte {at}"
        if line is Bad.TORN:
            self.torn.append(f"ledger: {where}: a line cut short is passed over")
            return None
        if isinstance(line, Bad):
            if self._started and not self.head.sync and self.head.boot != self._boot:
                self._ended = True  # nothing was to outlive the machine
                return None
            raise RefusedError(f"ledger: {where}: damaged: put it aside and start with an empty folder")
        try:
            entry = decode(line)
        except ValueError as bad:
            raise RefusedError(f"ledger: {where}: {bad}: name another folder") from None
        if isinstance(entry, Head):
            self._check_head(entry)
        elif isinstance(entry, MemoryStore):
            self.state, self._started, self._start = entry, True, self._lines.offset
        elif isinstance(entry, End):
            self._ended = True
        elif self._started:
            return entry.number, carry_out(self.state, entry)
        return None

    def _check_head(self, head: Head) -> None:
        wanted = self._wanted or self.head.installation or head.installation
        if head.installation != wanted:
            found = f"is of installation {head.installation}, not {wanted}"
            raise RefusedError(f"ledger: {self._path} {found}: name the right folder")
        if head.sync != self._sync:
            made = "with" if head.sync else "without"
            raise RefusedError(f"ledger: {self._path} was made {made} SYNC: set it alike in all gateways")
        self.head = head

    def close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
        self._file = -1
