"""What the gateways of an installation share: lives, records, and steps that exactly one of them wins.

A ledger holds records by key. Every write gives its record the ledger's next version, over all keys. A step
is a few writes that are carried out together or not at all; a write that finds its record changed loses its
whole step and changes nothing. Each step is committed by a life, and a life that was sealed commits nothing
any more: whoever was stopped in between finds out at its next step, before it acts on it.

Clocks are never compared between processes. A lease is renewed by its holder, which stops acting a part of
the term after it *began* its last renewal that was answered; others count it free a whole term and more
after they first *saw* that renewal, each on its own clock. Times are milliseconds, keys are paths without a
leading slash.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias, runtime_checkable


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One start of one gateway; `epoch` rises with every start of that name, from 1, never given twice."""

    name: str
    epoch: int

    def __str__(self) -> str:
        return f"{self.name}.{self.epoch}"


@dataclass(frozen=True, slots=True)
class Record:
    key: str
    value: bytes
    version: int  # of the ledger, at the write that left it so
    writer: Incarnation  # who wrote it


# What a step is made of


@dataclass(frozen=True, slots=True)
class Create:
    """Wins if there is no record of that key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Replace:
    """Wins if the record is there and still has this version."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Remove:
    """Wins if the record is there and still has this version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class CheckVersion:
    """Writes nothing; wins if the record still has this version (0: if there is none)."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Ends another life: from now on it commits nothing. Wins for exactly one caller, never for that life.

    `renewal` is the number of the last renewal that the caller saw: a life that renewed since is not sealed.
    """

    incarnation: Incarnation
    renewal: int


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Ends the life that commits it, as `Seal` does, once whatever stands before it in the step is done."""


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renews the lease of the life that commits it: its renewal number rises by one. Alone in its step."""


Write: TypeAlias = Create | Replace | Remove | CheckVersion | Fence | ReleaseLease | RenewLease


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are carried out together, in this order, or not at all."""

    writes: tuple[Write, ...]


class TransactionOutcome(Enum):
    COMMITTED = "won"
    CONFLICT = "lost"  # a record was not as the step wanted it: nothing was changed
    FENCED = "sealed"  # the life that committed it has ended: nothing was changed
    UNKNOWN = "unknown"  # no answer, or none in time: it may have been carried out, or may yet be


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """What became of one step."""

    outcome: TransactionOutcome
    version: int = 0  # of the ledger, where it won
    failed_write_index: int = -1  # which of its writes lost
    existing: Record | None = None  # and what stood there instead, if anything


@dataclass(frozen=True, slots=True)
class Member:
    """A life as the ledger has it."""

    incarnation: Incarnation
    renewal: int  # how often it was renewed; 0: only begun
    fenced: bool
    term_ms: float  # of its lease
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """All that changed since a version: records written, keys removed, members begun, renewed or sealed."""

    version: int  # ask from here next time
    is_snapshot: bool = False  # all there is now, as too much was forgotten since: what is not in it is gone
    records: tuple[Record, ...] = ()
    removed_keys: tuple[str, ...] = ()
    members: tuple[Member, ...] = ()
    dead_incarnations: tuple[
        Incarnation, ...
    ] = ()  # lives, not sealed yet, whose process is known to have ended


class LedgerError(Exception):
    """The ledger gave no answer: full, out of order, gone. Its text is one line: what, where, what to do."""


class LedgerUnusableError(LedgerError):
    """It can't be used at all: foreign, of another version, damaged, the name taken. Nothing was changed."""


@runtime_checkable
class Store(Protocol):
    """A ledger, as a backend gives it. Calls may block; whoever must not wait calls it from a thread.

    Every call raises `LedgerError` where the backend fails; after that a step that was on its way is UNKNOWN.
    """

    def register(self, name: str, term_ms: float) -> Incarnation:
        """A new life of that name, with the next epoch. Raises `RefusedError` while an earlier one lives."""

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        """Carries out the steps, in order and each by itself, made lasting together; what became of each."""

    def read(self, key: str) -> Record | None: ...

    def scan(self, prefix: str) -> list[Record]:
        """All records whose keys begin so, by key."""

    def members(self) -> list[Member]:
        """The last life of every name."""

    def changes(
        self, after_version: int, prefixes: Sequence[str] = ("",), watched_names: Sequence[str] | None = None
    ) -> Changes:
        """What changed after that version, at once; 0 asks for all. Members come whatever the prefixes: all
        that changed, or, where names are `watched`, those that began or were sealed, and the watched ones as
        they stand. So what a fleet reads of renewals grows with the fleet and not with its square."""

    def take_warnings(self) -> list[str]:
        """Lines that the operator should read, each given once."""

    def close(self) -> None: ...


# Between a stage and whoever carries out its actions: a stage is pure, has no store, and asks by these.


@dataclass(frozen=True, slots=True)
class Commit:
    """Action: commit these steps in the next group, in order. Answered by one `Committed` of that ticket."""

    ticket: int  # the asking stage's own number; `owner` tells stages apart
    transactions: tuple[Transaction, ...]
    owner: str = ""


@dataclass(frozen=True, slots=True)
class CommitCompleted:
    """Event: what became of the steps of one `Commit`, in their order."""

    ticket: int
    results: tuple[TransactionResult, ...]
    owner: str = ""


@dataclass(frozen=True, slots=True)
class Scan:
    """Action: all records whose keys begin so, as a sealed life left them. Answered by one `Scanned`."""

    ticket: int
    prefix: str
    owner: str = ""


@dataclass(frozen=True, slots=True)
class ScanCompleted:
    """Event: the records of one `Scan`, by key; None if the ledger gave no answer."""

    ticket: int
    records: tuple[Record, ...] | None
    owner: str = ""


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Action: the members whose renewals this gateway wants to be told of from its next look on, one look
    at a time; None: all of them."""

    names: tuple[str, ...] | None


@dataclass(frozen=True, slots=True)
class LedgerChanged:
    """Event: what changed in the ledger, in the order of its versions. Told after each look, also of nothing:
    that a renewal is still missing says something only if the look began late enough."""

    changes: Changes
    poll_started_ms: float | None = None  # when the look began, by this gateway's clock; None: just now


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """Event: these lives let their leases run out by this gateway's clock, or were sealed (`sealed`).

    A life that is not sealed yet may renew and act on: what was its own is free once it is sealed. Each is
    told once as sealed, at the first look those too that were sealed before; not earlier lives of a name
    begun anew before that: a stage scans its records once at the start.
    """

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LedgerUnavailable:
    """Event: the ledger does not answer. Rights that rest on it end when the own lease does."""

    reason: str


@dataclass(frozen=True, slots=True)
class LedgerRecovered:
    """Event: it answers again; this life was not sealed in between."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """Event: this life was sealed by another. Nothing that rests on the ledger may be begun any more."""


# No balancer knows any of these.
LEDGER_EVENTS = (
    LedgerChanged,
    CommitCompleted,
    ScanCompleted,
    LeaseExpired,
    LedgerUnavailable,
    LedgerRecovered,
    Fenced,
)
