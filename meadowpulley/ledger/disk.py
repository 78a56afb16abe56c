"""A ledger on a lasting disk, for the processes of one machine: a process stopped or killed anywhere holds
nothing that another waits for.

Records, lives and seals stand in a log that all append to (`log.py`); renewals, which are many, beside it
as names (`leases.py`). A life is sealed in two moves: its lease can't be renewed any more, then the log
says so; whoever dies in between has its second move made by the next. Needs a local file system; not for
use over a network.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace

from meadowpulley.ledger.entries import Begin, Steps
from meadowpulley.ledger.failpoints import Fail, nothing
from meadowpulley.ledger.leases import Leases
from meadowpulley.ledger.log import Log, boot_id
from meadowpulley.ledger.model import (
    Changes,
    Done,
    How,
    LedgerError,
    Life,
    Member,
    Record,
    RefusedError,
    Renew,
    Seal,
    Step,
)

MOST_BYTES = 32 << 20
GOOD_NAME = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9._-]{0,63}")


class DiskStore:
    """`Store` in a folder. Used by one thread at a time. `sync`: what is answered outlives the machine;
    without it what is answered outlives every process, and the death of the machine sets the ledger back to
    its lives.

    Raises `RefusedError` where the folder can't be used.
    """

    def __init__(
        self,
        path: str,
        installation: str = "",
        sync: bool = False,
        most_bytes: int = MOST_BYTES,
        boot: str = "",
        fail: Fail = nothing,
    ) -> None:
        self._path, self._fail = path, fail
        try:
            self._folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        except OSError as bad:
            raise RefusedError(f"ledger: {path}: {bad.strerror}: make that folder, or name another") from None
        try:
            with self._told():
                self._log = Log(self._folder, path, installation, sync, most_bytes, boot or boot_id(), fail)
                self._leases = Leases(self._folder, fail)
                self._leases.clear(self._log.state.lives)
        except LedgerError as bad:
            os.close(self._folder)
            raise RefusedError(str(bad)) from None

    @property
    def installation(self) -> str:
        return self._log.head.installation

    def notes(self) -> list[str]:
        found, self._log.torn = self._log.torn, []
        return found

    @contextmanager
    def _told(self) -> Iterator[None]:
        try:
            yield
        except OSError as bad:
            raise LedgerError(f"ledger: {self._path}: {bad.strerror}: see to that disk") from None

    @contextmanager
    def _current(self) -> Iterator[None]:
        """With all that others wrote known; what fails is told in a line."""
        with self._told():
            self._fail("call")
            here, mine = os.stat(self._path), os.fstat(self._folder)
            if (here.st_dev, here.st_ino) != (mine.st_dev, mine.st_ino):
                raise LedgerError(f"ledger: {self._path} is another folder now: put it back, or start again")
            name = self._log.name
            self._log.follow()
            if self._log.name != name:
                self._leases.clear(self._log.state.lives)
            yield

    def begin(self, name: str, term_ms: float) -> Life:
        if not GOOD_NAME.fullmatch(name):
            raise RefusedError(f"ledger: the name '{name}' is none of letters, digits, '.', '_' and '-'")
        with self._current():
            last = self._log.state.lives.get(name)
            life = Life(name, last.life.epoch + 1 if last is not None else 1)
            free = last is None or last.sealed or self._leases.over(last.life)
            if not free or not self._leases.begin(life):
                raise RefusedError(f"ledger: the name '{name}' is taken by a living gateway: choose another")
            if not self._log.propose(Begin, life, term_ms, sync=True):
                raise RefusedError(f"ledger: the name '{name}' was taken meanwhile: choose another")
            self._fail("begin.begun")
        return life

    def commit(self, by: Life, steps: Sequence[Step]) -> list[Done]:
        found: list[Done] = []
        with self._current():
            waiting: list[Step] = []
            for step in steps:
                if Renew() not in step.writes:
                    waiting.append(step)
                    continue
                if len(step.writes) > 1:
                    raise ValueError("Renew stands alone in its step")
                found += self._propose(by, waiting)
                waiting = []
                found.append(self._renew(by))
            found += self._propose(by, waiting)
        return found

    def _sealed(self, by: Life) -> bool:
        member = self._log.state.lives.get(by.name)
        return member is None or member.life != by or member.sealed

    def _renew(self, by: Life) -> Done:
        if self._sealed(by) or not self._leases.renew(by):
            return Done(How.SEALED)
        return Done(How.WON, version=self._log.state.version)

    def _propose(self, by: Life, steps: list[Step]) -> list[Done]:
        if not steps:
            return []
        if self._sealed(by):
            return [Done(How.SEALED)] * len(steps)
        ready = tuple(
            Step(tuple(self._first_move(by, w) if isinstance(w, Seal) else w for w in step.writes))
            for step in steps
        )
        found = self._log.propose(Steps, by, ready)
        assert not isinstance(found, bool)
        return found

    def _first_move(self, by: Life, seal: Seal) -> Seal:
        """Ends the renewals of a life that is to be sealed. Where its step then loses for another reason,
        that life finds itself sealed at its next renewal, and somebody seals it on missing that."""
        if seal.life != by and not self._sealed(seal.life) and not self._leases.seal(seal.life, seal.renewal):
            return replace(seal, renewal=-1)
        return seal

    def read(self, key: str) -> Record | None:
        with self._current():
            return self._log.state.read(key)

    def scan(self, prefix: str) -> list[Record]:
        with self._current():
            return self._log.state.scan(prefix)

    def members(self) -> list[Member]:
        with self._current():
            return [self._member(name) for name in sorted(self._log.state.lives)]

    def _member(self, name: str) -> Member:
        member = self._log.state.lives[name]
        found = None if member.sealed else self._leases.look(member.life)
        return replace(member, renewal=found[0]) if found is not None else member

    def changes(
        self, after: int, prefixes: Sequence[str] = ("",), watched: Sequence[str] | None = None
    ) -> Changes:
        with self._current():
            state = self._log.state
            found = state.changes(after, prefixes, ())
            names = {m.life.name for m in found.members}
            names.update(state.lives if watched is None else state.lives.keys() & set(watched))
            members = tuple(self._member(name) for name in sorted(names))
            over = tuple(m.life for m in members if not m.sealed and self._leases.over(m.life))
            return replace(found, members=members, over=over)

    def close(self) -> None:
        self._log.close()
        self._leases.close()
        os.close(self._folder)
