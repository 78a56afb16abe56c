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
    CheckVersion,
    Create,
    Fence,
    Incarnation,
    Member,
    Record,
    ReleaseLease,
    Remove,
    Replace,
    Transaction,
    TransactionResult,
    Write,
)

FORMAT_NAME, FORMAT_VERSION = "meadowpulley-ledger", 1


@dataclass(frozen=True, slots=True)
class GenerationHeader:
    """The first line of every generation."""

    installation: str
    generation: int
    sync: bool  # whether what is answered outlives the machine
    boot_id: str  # of the machine, when the installation's log was begun or set back


@dataclass(frozen=True, slots=True)
class CommitEntry:
    """`number` tells the proposals of one process apart. A seal whose life renewed has `renewal` -1."""

    incarnation: Incarnation
    proposal_id: str
    transactions: tuple[Transaction, ...]


@dataclass(frozen=True, slots=True)
class RegisterEntry:
    incarnation: Incarnation
    proposal_id: str
    term_ms: float


@dataclass(frozen=True, slots=True)
class EndEntry:
    pass


LogEntry = CommitEntry | RegisterEntry | EndEntry | GenerationHeader | MemoryStore

_WRITE_DECODERS: dict[str, Callable[..., Write]] = {
    "c": Create,
    "r": Replace,
    "d": Remove,
    "u": CheckVersion,
    "s": lambda name, epoch, renewal: Fence(Incarnation(name, epoch), renewal),
    "l": ReleaseLease,
}


def _encode_write(write: Write) -> tuple[Any, ...]:
    match write:
        case Create(key, value):
            return ("c", key, value)
        case Replace(key, value, version):
            return ("r", key, value, version)
        case Remove(key, version):
            return ("d", key, version)
        case CheckVersion(key, version):
            return ("u", key, version)
        case Fence(incarnation, renewal):
            return ("s", incarnation.name, incarnation.epoch, renewal)
        case _:
            return ("l",)


def encode(entry: LogEntry) -> bytes:
    raw: tuple[Any, ...]
    match entry:
        case CommitEntry(writer, proposal_id, transactions):
            raw = (
                "steps",
                writer.name,
                writer.epoch,
                proposal_id,
                [[_encode_write(w) for w in s.writes] for s in transactions],
            )
        case RegisterEntry(incarnation, proposal_id, term_ms):
            raw = ("begin", incarnation.name, incarnation.epoch, proposal_id, term_ms)
        case EndEntry():
            raw = ("end",)
        case GenerationHeader(installation, generation, sync, boot_id):
            raw = ("head", FORMAT_NAME, FORMAT_VERSION, installation, generation, sync, boot_id)
        case _:
            raw = ("state", *_encode_state(entry))
    return msgspec.msgpack.encode(raw)


def decode(payload: bytes) -> LogEntry:
    """Raises ValueError where it is none of ours."""
    try:
        kind, *raw = msgspec.msgpack.decode(payload)
        if kind == "steps":
            name, epoch, proposal_id, raw_transactions = raw
            transactions = tuple(
                Transaction(tuple(_WRITE_DECODERS[w[0]](*w[1:]) for w in writes))
                for writes in raw_transactions
            )
            return CommitEntry(Incarnation(name, epoch), proposal_id, transactions)
        if kind == "begin":
            return RegisterEntry(Incarnation(raw[0], raw[1]), raw[2], raw[3])
        if kind == "end":
            return EndEntry()
        if kind == "head":
            if raw[0] != FORMAT_NAME or raw[1] != FORMAT_VERSION:
                raise ValueError(f"it is of format {raw[0]} {raw[1]}, not {FORMAT_NAME} {FORMAT_VERSION}")
            return GenerationHeader(*raw[2:])
        if kind == "state":
            return _decode_state(*raw)
    except (msgspec.DecodeError, TypeError, KeyError, IndexError) as error:
        raise ValueError(f"no entry of a ledger: {error}") from None
    raise ValueError(f"no entry of a ledger: {kind}")


def _encode_state(state: MemoryStore) -> tuple[Any, ...]:
    records = [(r.key, r.value, r.version, r.writer.name, r.writer.epoch) for r in state.records.values()]
    members = [
        (
            m.incarnation.name,
            m.incarnation.epoch,
            m.renewal,
            m.fenced,
            m.term_ms,
            m.version,
            state.membership_versions[name],
        )
        for name, m in state.members_by_name.items()
    ]
    return (state.version, records, members, state.tombstones, state.compacted_version)


def _decode_state(
    version: int,
    records: Sequence[Any],
    members: Sequence[Any],
    tombstones: dict[str, int],
    compacted_version: int,
) -> MemoryStore:
    state = MemoryStore()
    state.version, state.tombstones, state.compacted_version = version, tombstones, compacted_version
    state.records = {k: Record(k, value, v, Incarnation(name, epoch)) for k, value, v, name, epoch in records}
    for name, epoch, renewal, sealed, term_ms, v, membership_version in members:
        state.members_by_name[name] = Member(Incarnation(name, epoch), renewal, sealed, term_ms, v)
        state.membership_versions[name] = membership_version
    state.membership_versions = dict(sorted(state.membership_versions.items(), key=lambda item: item[1]))
    return state


def apply_entry(state: MemoryStore, entry: CommitEntry | RegisterEntry) -> list[TransactionResult] | bool:
    """What became of the steps, or whether the life has begun."""
    if isinstance(entry, RegisterEntry):
        previous = state.members_by_name.get(entry.incarnation.name)
        if entry.incarnation.epoch != (previous.incarnation.epoch + 1 if previous is not None else 1):
            return False
        if previous is not None:
            state.dead_incarnations.add(
                previous.incarnation
            )  # whoever proposed it had seen that process ended, or the life sealed
        state.register(entry.incarnation.name, entry.term_ms)
        return True
    results = []
    for transaction in entry.transactions:
        for write in transaction.writes:
            if isinstance(write, Fence) and write.renewal >= 0:
                member = state.members_by_name.get(write.incarnation.name)
                if member is not None and member.incarnation == write.incarnation and not member.fenced:
                    # Renewals stand beside the log; the one that this life can't go beyond any more is here.
                    state.members_by_name[member.incarnation.name] = replace(member, renewal=write.renewal)
        results += state.commit(entry.incarnation, [transaction])
    return results


def state_after_machine_crash(state: MemoryStore) -> MemoryStore:
    """What is left where the machine died and nothing was to outlive it: that those lives have been."""
    remaining = MemoryStore()
    remaining.version = remaining.compacted_version = state.version + 1
    for name, member in state.members_by_name.items():
        remaining.members_by_name[name] = replace(member, fenced=True, version=remaining.version)
        remaining.membership_versions[name] = remaining.version
    return remaining
