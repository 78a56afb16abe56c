"""The entries of the log: how they are encoded, and how each reader applies them.

Most entries are proposals of an incarnation. The position of a proposal in the log decides its result, and
every reader computes that result independently. Entries after an `EndEntry` are ignored: the log continues in
the next generation.

The encoding is a stored format: each entry is a msgpack array that starts with the tag of its type. The tags
must not change, even if the classes in this module are renamed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import TypeAlias

import msgspec

from meadowpulley.ledger.errors import LogEntryError
from meadowpulley.ledger.memory import MemoryStore
from meadowpulley.ledger.records import Incarnation, Member, Record
from meadowpulley.ledger.transactions import (
    CheckVersion,
    Create,
    Fence,
    ReleaseLease,
    Remove,
    Replace,
    Transaction,
    TransactionResult,
    Write,
)

FORMAT_NAME = "meadowpulley-ledger"
FORMAT_VERSION = 1

COMMIT_TAG = "steps"
REGISTER_TAG = "begin"
END_TAG = "end"
HEADER_TAG = "head"
STATE_TAG = "state"

CREATE_TAG = "c"
REPLACE_TAG = "r"
REMOVE_TAG = "d"
CHECK_VERSION_TAG = "u"
FENCE_TAG = "s"
RELEASE_LEASE_TAG = "l"

# The `renewal` of a `Fence` that must fail because the incarnation has renewed its lease in the meantime.
RENEWED_SINCE = -1


@dataclass(frozen=True, slots=True)
class GenerationHeader:
    """The first entry of every generation of the log."""

    installation: str
    generation: int
    sync: bool  # whether acknowledged transactions survive a crash of the machine
    boot_id: str  # identifies the boot of the machine in which the generation was created


@dataclass(frozen=True, slots=True)
class CommitEntry:
    """Proposes transactions.

    A fence whose `renewal` is `RENEWED_SINCE` fails, since its incarnation has renewed its lease meanwhile.
    """

    incarnation: Incarnation
    proposal_id: str  # unique among the proposals of all processes
    transactions: tuple[Transaction, ...]


@dataclass(frozen=True, slots=True)
class RegisterEntry:
    """Proposes a new incarnation."""

    incarnation: Incarnation
    proposal_id: str
    term_ms: float  # the term of the lease


@dataclass(frozen=True, slots=True)
class EndEntry:
    """Ends a generation of the log; later entries of the generation are ignored."""


Proposal: TypeAlias = CommitEntry | RegisterEntry
LogEntry: TypeAlias = Proposal | EndEntry | GenerationHeader | MemoryStore

# The types of the stored arrays, as msgpack decodes them.
RawWrite: TypeAlias = Sequence[str | bytes | int]  # the tag of the write, then its fields
RawRecord: TypeAlias = tuple[str, bytes, int, str, int]  # key, value, version, name and epoch of the writer
# Name, epoch, renewal number, whether fenced, term (ms), version of the last change, and version of the
# registration or fence.
RawMember: TypeAlias = tuple[str, int, int, bool, float, int, int]
RawState: TypeAlias = tuple[int, list[RawRecord], list[RawMember], dict[str, int], int]

_WRITE_DECODERS: dict[str | bytes | int, Callable[..., Write]] = {
    CREATE_TAG: Create,
    REPLACE_TAG: Replace,
    REMOVE_TAG: Remove,
    CHECK_VERSION_TAG: CheckVersion,
    FENCE_TAG: lambda name, epoch, renewal: Fence(Incarnation(name, epoch), renewal),
    RELEASE_LEASE_TAG: ReleaseLease,
}


def _encode_write(write: Write) -> RawWrite:
    match write:
        case Create(key, value):
            return (CREATE_TAG, key, value)
        case Replace(key, value, version):
            return (REPLACE_TAG, key, value, version)
        case Remove(key, version):
            return (REMOVE_TAG, key, version)
        case CheckVersion(key, version):
            return (CHECK_VERSION_TAG, key, version)
        case Fence(incarnation, renewal):
            return (FENCE_TAG, incarnation.name, incarnation.epoch, renewal)
        case _:
            return (RELEASE_LEASE_TAG,)


def _encode_transaction(transaction: Transaction) -> list[RawWrite]:
    return [_encode_write(write) for write in transaction.writes]


def encode(entry: LogEntry) -> bytes:
    """Return the payload of an entry; a `MemoryStore` is encoded as the initial state of a generation."""
    raw: tuple[object, ...]
    match entry:
        case CommitEntry(writer, proposal_id, transactions):
            raw_transactions = [_encode_transaction(transaction) for transaction in transactions]
            raw = (COMMIT_TAG, writer.name, writer.epoch, proposal_id, raw_transactions)
        case RegisterEntry(incarnation, proposal_id, term_ms):
            raw = (REGISTER_TAG, incarnation.name, incarnation.epoch, proposal_id, term_ms)
        case EndEntry():
            raw = (END_TAG,)
        case GenerationHeader(installation, generation, sync, boot_id):
            raw = (HEADER_TAG, FORMAT_NAME, FORMAT_VERSION, installation, generation, sync, boot_id)
        case _:
            raw = (STATE_TAG, *_encode_state(entry))
    return msgspec.msgpack.encode(raw)


def decode(payload: bytes) -> LogEntry:
    """Return the log entry that a payload encodes.

    Raises:
        ValueError: the payload is not a valid entry of this format (usually its subclass `LogEntryError`).
    """
    try:
        tag, *fields = msgspec.msgpack.decode(payload)
        decoder = _ENTRY_DECODERS[tag]
        return decoder(*fields)
    except (msgspec.DecodeError, TypeError, KeyError, IndexError) as error:
        raise LogEntryError(f"this is not a valid ledger entry: {error}") from None


def _decode_commit(
    name: str, epoch: int, proposal_id: str, raw_transactions: Sequence[Sequence[RawWrite]]
) -> CommitEntry:
    transactions = tuple(_decode_transaction(raw_writes) for raw_writes in raw_transactions)
    return CommitEntry(Incarnation(name, epoch), proposal_id, transactions)


def _decode_transaction(raw_writes: Sequence[RawWrite]) -> Transaction:
    return Transaction(tuple(_WRITE_DECODERS[tag](*fields) for tag, *fields in raw_writes))


def _decode_registration(
    name: str, epoch: int, proposal_id: str, term_ms: float, *_: object
) -> RegisterEntry:
    return RegisterEntry(Incarnation(name, epoch), proposal_id, term_ms)


def _decode_header(format_name: str, format_version: int, *fields: object) -> GenerationHeader:
    """Return the header; check the format first, since the other fields of another format may differ."""
    if format_name != FORMAT_NAME or format_version != FORMAT_VERSION:
        raise LogEntryError(
            f"the log is of format {format_name} {format_version}, not {FORMAT_NAME} {FORMAT_VERSION}"
        )
    return _make_header(*fields)


_make_header: Callable[..., GenerationHeader] = GenerationHeader


def _encode_state(state: MemoryStore) -> RawState:
    records = [_encode_record(record) for record in state.records.values()]
    members = [
        _encode_member(member, state.membership_versions[name])
        for name, member in state.members_by_name.items()
    ]
    return (state.version, records, members, state.tombstones, state.compacted_version)


def _encode_record(record: Record) -> RawRecord:
    return (record.key, record.value, record.version, record.writer.name, record.writer.epoch)


def _encode_member(member: Member, membership_version: int) -> RawMember:
    return (
        member.incarnation.name,
        member.incarnation.epoch,
        member.renewal,
        member.fenced,
        member.term_ms,
        member.version,
        membership_version,
    )


def _decode_state(
    version: int,
    records: Sequence[RawRecord],
    members: Sequence[RawMember],
    tombstones: dict[str, int],
    compacted_version: int,
) -> MemoryStore:
    state = MemoryStore()
    state.version = version
    state.tombstones = tombstones
    state.compacted_version = compacted_version
    for raw_record in records:
        record = _decode_record(raw_record)
        state.records[record.key] = record
    for raw_member in members:
        member, membership_version = _decode_member(raw_member)
        state.members_by_name[member.incarnation.name] = member
        state.membership_versions[member.incarnation.name] = membership_version
    state.membership_versions = dict(sorted(state.membership_versions.items(), key=lambda item: item[1]))
    return state


def _decode_record(raw_record: RawRecord) -> Record:
    key, value, version, name, epoch = raw_record
    return Record(key, value, version, Incarnation(name, epoch))


def _decode_member(raw_member: RawMember) -> tuple[Member, int]:
    """Return a member, and the ledger's version at its registration or fence."""
    name, epoch, renewal, fenced, term_ms, version, membership_version = raw_member
    return Member(Incarnation(name, epoch), renewal, fenced, term_ms, version), membership_version


_ENTRY_DECODERS: dict[str, Callable[..., LogEntry]] = {
    COMMIT_TAG: _decode_commit,
    REGISTER_TAG: _decode_registration,
    END_TAG: lambda *_: EndEntry(),
    HEADER_TAG: _decode_header,
    STATE_TAG: _decode_state,
}


def apply_registration(state: MemoryStore, entry: RegisterEntry) -> bool:
    """Apply a registration to `state`; return whether the incarnation was registered."""
    previous = state.members_by_name.get(entry.incarnation.name)
    next_epoch = previous.incarnation.epoch + 1 if previous is not None else 1
    if entry.incarnation.epoch != next_epoch:
        return False
    if previous is not None:
        # The proposer had found that the previous process had ended or that its incarnation was fenced.
        state.dead_incarnations.add(previous.incarnation)
    state.register(entry.incarnation.name, entry.term_ms)
    return True


def apply_commit(state: MemoryStore, entry: CommitEntry) -> list[TransactionResult]:
    """Apply proposed transactions to `state`; return one result for each."""
    results = list[TransactionResult]()
    for transaction in entry.transactions:
        for write in transaction.writes:
            if isinstance(write, Fence) and write.renewal > RENEWED_SINCE:
                _set_last_renewal(state, write)
        results += state.commit(entry.incarnation, [transaction])
    return results


def _set_last_renewal(state: MemoryStore, fence: Fence) -> None:
    """Set the renewal number of an incarnation that is being fenced.

    Renewals are not in the log. The fence holds the last renewal number, and its proposer has already stopped
    further renewals.
    """
    member = state.members_by_name.get(fence.incarnation.name)
    if member is not None and member.incarnation == fence.incarnation and not member.fenced:
        state.members_by_name[member.incarnation.name] = replace(member, renewal=fence.renewal)


def state_after_machine_crash(state: MemoryStore) -> MemoryStore:
    """Return the state after a machine crash without `sync`: all incarnations fenced, and no records."""
    remaining = MemoryStore()
    remaining.version = state.version + 1
    remaining.compacted_version = remaining.version
    for name, member in state.members_by_name.items():
        remaining.members_by_name[name] = replace(member, fenced=True, version=remaining.version)
        remaining.membership_versions[name] = remaining.version
    return remaining
