"""What stands in a line of the log, and how it is carried out: the same in every process that reads it.

An entry is a proposal of a life. Its place in the log decides what became of it, and each reader finds that
out by itself. After an `End` nothing counts any more: the log goes on in the next generation.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from meadowpulley.ledger.memory import MemoryStore
from meadowpulley.ledger.model import (
    Create,
    Done,
    Leave,
    Life,
    Member,
    Record,
    Remove,
    Replace,
    Seal,
    Step,
    Unchanged,
    Write,
)

FORMAT, VERSION = "meadowpulley-ledger", 1


@dataclass(frozen=True, slots=True)
class Head:
    """The first line of every generation."""

    installation: str
    generation: int
    sync: bool  # whether what is answered outlives the machine
    boot: str  # of the machine, when the installation's log was begun or set back


@dataclass(frozen=True, slots=True)
class Steps:
    """`number` tells the proposals of one process apart. A seal whose life renewed has `renewal` -1."""

    by: Life
    number: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Begin:
    life: Life
    number: str
    term_ms: float


@dataclass(frozen=True, slots=True)
class End:
    pass


Entry = Steps | Begin | End | Head | MemoryStore

_MAKERS: dict[str, Callable[..., Write]] = {
    "c": Create,
    "r": Replace,
    "d": Remove,
    "u": Unchanged,
    "s": lambda name, epoch, renewal: Seal(Life(name, epoch), renewal),
    "l": Leave,
}


def _write_out(write: Write) -> tuple[Any, ...]:
    match write:
        case Create(key, value):
            return ("c", key, value)
        case Replace(key, value, version):
            return ("r", key, value, version)
        case Remove(key, version):
            return ("d", key, version)
        case Unchanged(key, version):
            return ("u", key, version)
        case Seal(life, renewal):
            return ("s", life.name, life.epoch, renewal)
        case _:
            return ("l",)


def encode(entry: Entry) -> bytes:
    raw: tuple[Any, ...]
    match entry:
        case Steps(by, number, steps):
            raw = ("steps", by.name, by.epoch, number, [[_write_out(w) for w in s.writes] for s in steps])
        case Begin(life, number, term_ms):
            raw = ("begin", life.name, life.epoch, number, term_ms)
        case End():
            raw = ("end",)
        case Head(installation, generation, sync, boot):
            raw = ("head", FORMAT, VERSION, installation, generation, sync, boot)
        case _:
            raw = ("state", *_state_out(entry))
    return msgspec.msgpack.encode(raw)


def decode(payload: bytes) -> Entry:
    """Raises ValueError where it is none of ours."""
    try:
        kind, *raw = msgspec.msgpack.decode(payload)
        if kind == "steps":
            name, epoch, number, steps = raw
            made = tuple(Step(tuple(_MAKERS[w[0]](*w[1:]) for w in writes)) for writes in steps)
            return Steps(Life(name, epoch), number, made)
        if kind == "begin":
            return Begin(Life(raw[0], raw[1]), raw[2], raw[3])
        if kind == "end":
            return End()
        if kind == "head":
            if raw[0] != FORMAT or raw[1] != VERSION:
                raise ValueError(f"it is of format {raw[0]} {raw[1]}, not {FORMAT} {VERSION}")
            return Head(*raw[2:])
        if kind == "state":
            return _state_in(*raw)
    except (msgspec.DecodeError, TypeError, KeyError, IndexError) as bad:
        raise ValueError(f"no entry of a ledger: {bad}") from None
    raise ValueError(f"no entry of a ledger: {kind}")


def _state_out(state: MemoryStore) -> tuple[Any, ...]:
    records = [(r.key, r.value, r.version, r.by.name, r.by.epoch) for r in state.records.values()]
    lives = [
        (m.life.name, m.life.epoch, m.renewal, m.sealed, m.term_ms, m.version, state.turned[name])
        for name, m in state.lives.items()
    ]
    return (state.version, records, lives, state.gone, state.forgot)


def _state_in(
    version: int, records: Sequence[Any], lives: Sequence[Any], gone: dict[str, int], forgot: int
) -> MemoryStore:
    state = MemoryStore()
    state.version, state.gone, state.forgot = version, gone, forgot
    state.records = {k: Record(k, value, v, Life(name, epoch)) for k, value, v, name, epoch in records}
    for name, epoch, renewal, sealed, term_ms, v, turned in lives:
        state.lives[name] = Member(Life(name, epoch), renewal, sealed, term_ms, v)
        state.turned[name] = turned
    state.turned = dict(sorted(state.turned.items(), key=lambda item: item[1]))
    return state


def carry_out(state: MemoryStore, entry: Steps | Begin) -> list[Done] | bool:
    """What became of the steps, or whether the life has begun."""
    if isinstance(entry, Begin):
        last = state.lives.get(entry.life.name)
        if entry.life.epoch != (last.life.epoch + 1 if last is not None else 1):
            return False
        if last is not None:
            state.dead.add(last.life)  # whoever proposed it had seen that process ended, or the life sealed
        state.begin(entry.life.name, entry.term_ms)
        return True
    found = []
    for step in entry.steps:
        for write in step.writes:
            if isinstance(write, Seal) and write.renewal >= 0:
                member = state.lives.get(write.life.name)
                if member is not None and member.life == write.life and not member.sealed:
                    # Renewals stand beside the log; the one that this life can't go beyond any more is here.
                    state.lives[member.life.name] = replace(member, renewal=write.renewal)
        found += state.commit(entry.by, [step])
    return found


def set_back(state: MemoryStore) -> MemoryStore:
    """What is left where the machine died and nothing was to outlive it: that those lives have been."""
    left = MemoryStore()
    left.version = left.forgot = state.version + 1
    for name, member in state.lives.items():
        left.lives[name] = replace(member, sealed=True, version=left.version)
        left.turned[name] = left.version
    return left
