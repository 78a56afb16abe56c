"""A ledger in memory, for stories, emulator and checker: the meaning of every step, without a disk."""

from __future__ import annotations

import copy
from collections.abc import Sequence

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


class MemoryStore:
    """`Store` over plain dictionaries. Whether a life still lives is not a matter of time here: `begin` takes
    a name over at once where its last life was sealed or `dead` names it, and refuses it else."""

    def __init__(self) -> None:
        self.version = 0
        self.records: dict[str, Record] = {}
        self.lives: dict[str, Member] = {}
        self.gone: dict[str, int] = {}  # keys removed, and at which version
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
        return life

    def commit(self, by: Life, steps: Sequence[Step]) -> list[Done]:
        self._check()
        return [self._step(by, step) for step in steps]

    def _step(self, by: Life, step: Step) -> Done:
        member = self.lives.get(by.name)
        if member is None or member.life != by or member.sealed:
            return Done(How.SEALED)
        before = (self.version, dict(self.records), dict(self.lives), dict(self.gone))
        for at, write in enumerate(step.writes):
            lost = self._write(by, write)
            if lost is not None:
                self.version, self.records, self.lives, self.gone = before
                return Done(How.LOST, at=at, found=lost[0])
        return Done(How.WON, version=self.version)

    def _write(self, by: Life, write: Write) -> tuple[Record | None] | None:
        """Carries a write out, or tells what stood in its way."""
        if isinstance(write, Seal):
            return self._seal(by, write)
        if isinstance(write, Renew | Leave):
            self.version += 1
            member, renew = self.lives[by.name], isinstance(write, Renew)
            renewal = member.renewal + renew
            self.lives[by.name] = Member(by, renewal, not renew, member.term_ms, self.version)
            return None
        found = self.records.get(write.key)
        wanted = 0 if isinstance(write, Create) else write.version
        if wanted != (found.version if found is not None else 0) or (
            found is None and isinstance(write, Replace | Remove)
        ):
            return (found,)
        if isinstance(write, Unchanged):
            return None
        self.version += 1
        if isinstance(write, Remove):
            del self.records[write.key]
            self.gone[write.key] = self.version
        else:
            self.records[write.key] = Record(write.key, write.value, self.version, by)
            self.gone.pop(write.key, None)
        return None

    def _seal(self, by: Life, write: Seal) -> tuple[Record | None] | None:
        member = self.lives.get(write.life.name)
        if member is None or member.life != write.life or member.sealed or write.life == by:
            return (None,)
        if member.renewal != write.renewal:
            return (None,)
        self.version += 1
        self.lives[write.life.name] = Member(member.life, member.renewal, True, member.term_ms, self.version)
        return None

    def read(self, key: str) -> Record | None:
        self._check()
        return self.records.get(key)

    def scan(self, prefix: str) -> list[Record]:
        self._check()
        return [self.records[key] for key in sorted(self.records) if key.startswith(prefix)]

    def members(self) -> list[Member]:
        self._check()
        return [self.lives[name] for name in sorted(self.lives)]

    def changes(self, after: int, prefixes: Sequence[str] = ("",)) -> Changes:
        self._check()
        mine = tuple(prefixes)
        records = [r for r in self.records.values() if r.version > after and r.key.startswith(mine)]
        removed = [k for k, version in self.gone.items() if version > after and k.startswith(mine)]
        return Changes(
            self.version,
            after == 0,
            tuple(sorted(records, key=lambda r: r.version)),
            tuple(sorted(removed)) if after else (),
            tuple(m for m in self.members() if m.version > after),
        )

    def close(self) -> None:
        pass

    def copy(self) -> MemoryStore:
        """An independent one with the same content: values never change, so only the tables are copied."""
        other = copy.copy(self)
        other.records, other.lives = dict(self.records), dict(self.lives)
        other.gone, other.dead = dict(self.gone), set(self.dead)
        return other
