"""A ledger in memory, for stories, emulator and checker: the meaning of every step, without a disk.

The backend on a disk carries every step out on one of these, so that both mean the same by a step.
"""

from __future__ import annotations

import copy
from collections.abc import Sequence
from dataclasses import replace

from meadowpulley.ledger.model import (
    Changes,
    Create,
    Done,
    How,
    Leave,
    LedgerError,
    Life,
    Member,
    Record,
    RefusedError,
    Remove,
    Renew,
    Replace,
    Seal,
    Step,
    Unchanged,
    Write,
)

NOBODY = Member(Life("", 0), 0, True, 0.0, 0)
REMEMBERED = 4096  # keys removed, of which late readers are still told one by one


class _Attempt:
    """What a step would change, seen by its later writes, kept apart until all of it has won."""

    __slots__ = ("by", "lives", "records", "store", "turned", "version")

    def __init__(self, store: MemoryStore, by: Life) -> None:
        self.store, self.by, self.version = store, by, store.version
        self.records: dict[str, Record | None] = {}
        self.lives: dict[str, Member] = {}
        self.turned: list[str] = []

    def write(self, write: Write) -> tuple[Record | None] | None:
        """Carries a write out, or tells what stood in its way."""
        kind = type(write)
        if kind is Seal or kind is Renew or kind is Leave:
            return self._lives(write)
        assert isinstance(write, Create | Replace | Remove | Unchanged)
        key = write.key
        found = self.records[key] if key in self.records else self.store.records.get(key)
        wanted = 0 if isinstance(write, Create) else write.version
        if wanted != (found.version if found is not None else 0):
            return (found,)
        if isinstance(write, Unchanged):
            return None
        if found is None and kind is not Create:
            return (None,)
        self.version += 1
        kept = None if isinstance(write, Remove) else Record(key, write.value, self.version, self.by)
        self.records[key] = kept
        return None

    def _lives(self, write: Write) -> tuple[Record | None] | None:
        if isinstance(write, Renew):
            member = self._member(self.by.name)
            self._turn(replace(member, renewal=member.renewal + 1))
            return None
        if isinstance(write, Seal):
            member = self._member(write.life.name)
            lives = member.life == write.life and not member.sealed and write.life != self.by
            if not lives or member.renewal != write.renewal:
                return (None,)
        else:
            member = self._member(self.by.name)
        self._turn(replace(member, sealed=True))
        self.turned.append(member.life.name)
        return None

    def _turn(self, member: Member) -> None:
        self.version += 1
        self.lives[member.life.name] = replace(member, version=self.version)

    def _member(self, name: str) -> Member:
        return self.lives.get(name) or self.store.lives.get(name) or NOBODY


class MemoryStore:
    """`Store` over plain dictionaries. Whether a life still lives is not a matter of time here: `begin` takes
    a name over at once where its last life was sealed or `dead` names it, and refuses it else."""

    def __init__(self) -> None:
        self.version = 0
        self.records: dict[str, Record] = {}  # the last written last
        self.lives: dict[str, Member] = {}
        # Names, and at which version their last life began or was sealed, the last one last.
        self.turned: dict[str, int] = {}
        self.gone: dict[str, int] = {}  # keys removed, and at which version
        self.forgot = 0  # up to which version removed keys are forgotten
        self.dead: set[Life] = set()  # processes known to have ended, as a backend on one machine knows them
        self.fault = ""  # while set, every call fails with it

    def _check(self) -> None:
        if self.fault:
            raise LedgerError(self.fault)

    def begin(self, name: str, term_ms: float) -> Life:
        self._check()
        last = self.lives.get(name)
        if last is not None and not last.sealed and last.life not in self.dead:
            raise RefusedError(f"ledger: the name '{name}' is taken by a living gateway: choose another")
        self.version += 1
        life = Life(name, last.life.epoch + 1 if last is not None else 1)
        self.dead.discard(Life(name, life.epoch - 1))
        self.lives[name] = Member(life, 0, False, term_ms, self.version)
        self._turn(name)
        return life

    def _turn(self, name: str) -> None:
        self.turned.pop(name, None)
        self.turned[name] = self.version

    def commit(self, by: Life, steps: Sequence[Step]) -> list[Done]:
        self._check()
        return [self._step(by, step) for step in steps]

    def _step(self, by: Life, step: Step) -> Done:
        member = self.lives.get(by.name)
        if member is None or member.life != by or member.sealed:
            return Done(How.SEALED)
        if Renew() in step.writes and len(step.writes) > 1:
            raise ValueError("Renew stands alone in its step")
        attempt = _Attempt(self, by)
        for at, write in enumerate(step.writes):
            lost = attempt.write(write)
            if lost is not None:
                return Done(How.LOST, at=at, found=lost[0])
        self._apply(attempt)
        return Done(How.WON, version=self.version)

    def _apply(self, attempt: _Attempt) -> None:
        self.version = attempt.version
        for key, record in attempt.records.items():
            there = self.records.pop(key, None)
            if record is not None:
                self.records[key] = record
                self.gone.pop(key, None)
            elif there is not None:
                self.gone[key] = self.version
        self.lives.update(attempt.lives)
        for name in attempt.turned:
            self._turn(name)
        while len(self.gone) > REMEMBERED:
            self.forgot = self.gone.pop(next(iter(self.gone)))

    def read(self, key: str) -> Record | None:
        self._check()
        return self.records.get(key)

    def scan(self, prefix: str) -> list[Record]:
        self._check()
        return [self.records[key] for key in sorted(k for k in self.records if k.startswith(prefix))]

    def members(self) -> list[Member]:
        self._check()
        return [self.lives[name] for name in sorted(self.lives)]

    def changes(
        self, after: int, prefixes: Sequence[str] = ("",), watched: Sequence[str] | None = None
    ) -> Changes:
        self._check()
        whole = after < self.forgot or not after
        mine, since = tuple(prefixes), 0 if whole else after
        records = list[Record]()
        for record in reversed(self.records.values()):  # the last written first: no look at all that is old
            if record.version <= since:
                break
            if record.key.startswith(mine):
                records.append(record)
        removed = list[str]()
        if not whole:
            for key, version in reversed(self.gone.items()):
                if version <= since:
                    break
                if key.startswith(mine):
                    removed.append(key)
        records.sort(key=lambda r: r.version)
        members = self._changed_members(since, watched)
        over = tuple(sorted(self.dead))
        return Changes(self.version, whole, tuple(records), tuple(sorted(removed)), members, over)

    def _changed_members(self, since: int, watched: Sequence[str] | None) -> tuple[Member, ...]:
        if watched is None:
            names = {name for name, member in self.lives.items() if member.version > since}
        else:
            names = {name for name in watched if name in self.lives}
            for name, version in reversed(self.turned.items()):
                if version <= since:
                    break
                names.add(name)
        return tuple(self.lives[name] for name in sorted(names))

    def notes(self) -> list[str]:
        return []

    def close(self) -> None:
        pass

    def copy(self) -> MemoryStore:
        """An independent one with the same content: values never change, so only the tables are copied."""
        other = copy.copy(self)
        other.records, other.lives, other.turned = dict(self.records), dict(self.lives), dict(self.turned)
        other.gone, other.dead = dict(self.gone), set(self.dead)
        return other
