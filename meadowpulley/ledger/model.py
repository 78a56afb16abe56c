"""The model of the ledger: incarnations, records, transactions, and the messages between stages and store.

The ledger maps keys to records. Every write gives its record the ledger's next version, counted over all
keys. A transaction is a few writes that are applied together or not at all: if one of them finds that its
record has changed, the whole transaction fails and changes nothing. Each transaction is committed by an
incarnation of a gateway, and an incarnation that was fenced can commit nothing more, so a gateway that was
stopped for a while finds out at its next transaction, before it acts on it.

Clocks are never compared between processes. The holder of a lease renews it, and stops acting on it a
fraction of the term after it *started* its last successful renewal; the others count the lease as expired a
whole term and a margin after they first *saw* that renewal, each by its own clock (Gray and Cheriton 1989).
Times are milliseconds; keys are paths without a leading slash.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias, runtime_checkable


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One run of one gateway, from its start to its end.

    `epoch` starts at 1, rises with every start under that name, and is never given twice.
    """

    name: str
    epoch: int

    def __str__(self) -> str:
        return f"{self.name}.{self.epoch}"


@dataclass(frozen=True, slots=True)
class Record:
    """The value of one key, with the version and the writer of its last write."""

    key: str
    value: bytes
    version: int  # the ledger's version at that write
    writer: Incarnation


# The writes of a transaction


@dataclass(frozen=True, slots=True)
class Create:
    """Create a record; conflicts if the key exists."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Replace:
    """Replace a record; conflicts unless it exists with this version."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a record; conflicts unless it exists with this version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class CheckVersion:
    """Write nothing; conflicts unless the record has this version (0: unless there is no record)."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Fence:
    """End another incarnation: from now on it can commit nothing.

    Succeeds for exactly one caller, and never for that incarnation itself. `renewal` is the number of the
    last renewal that the caller saw: an incarnation that has renewed its lease since is not fenced.
    """

    incarnation: Incarnation
    renewal: int


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """End the incarnation that commits this, as `Fence` does, after the earlier writes of the transaction."""


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease of the incarnation that commits this: its renewal number rises by one.

    It must be the only write of its transaction.
    """


Write: TypeAlias = Create | Replace | Remove | CheckVersion | Fence | ReleaseLease | RenewLease


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied together, in this order, or not at all."""

    writes: tuple[Write, ...]


class TransactionOutcome(Enum):
    """How a transaction ended. The values are the suffixes of the counters `ledger.*`."""

    COMMITTED = "won"
    CONFLICT = "lost"  # a record was not as the transaction expected: nothing was changed
    FENCED = "sealed"  # the incarnation that committed it has ended: nothing was changed
    UNKNOWN = "unknown"  # no answer, or none in time: it may have been applied, or may yet be


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The outcome of one transaction, with the cause of a conflict."""

    outcome: TransactionOutcome
    version: int = 0  # of the ledger after it, where it was committed
    failed_write_index: int = -1  # which of its writes conflicted
    existing: Record | None = None  # the record which that write found, if any


@dataclass(frozen=True, slots=True)
class Member:
    """The state of an incarnation in the ledger."""

    incarnation: Incarnation
    renewal: int  # how often its lease was renewed; 0 after its registration
    fenced: bool
    term_ms: float  # of its lease
    version: int  # of the ledger at its last change


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed since a version: records written, keys removed, members that changed."""

    version: int  # to ask from the next time
    # Everything there is now, since removals after that version are forgotten: what is not in it was removed.
    is_snapshot: bool = False
    records: tuple[Record, ...] = ()
    removed_keys: tuple[str, ...] = ()
    members: tuple[Member, ...] = ()
    # Incarnations that are not fenced yet and whose process is known to have ended.
    dead_incarnations: tuple[Incarnation, ...] = ()


class LedgerError(Exception):
    """The ledger failed. The text is one line that says what failed, where, and what to do."""


class LedgerUnusableError(LedgerError):
    """The ledger can't be used: foreign, damaged, of another format, or the name is taken.

    Nothing was changed.
    """


@runtime_checkable
class Store(Protocol):
    """A backend of the ledger. Its calls may block: a reactor calls them from a thread.

    Every call raises `LedgerError` when the backend fails; a transaction of the failed call is UNKNOWN.
    """

    def register(self, name: str, term_ms: float) -> Incarnation:
        """Register a new incarnation of that name, with the next epoch.

        Raises `LedgerUnusableError` while an earlier incarnation of the name is alive.
        """

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        """Apply transactions in order, each by itself, and make them durable together.

        Returns one result for each of them.
        """

    def read(self, key: str) -> Record | None:
        """Return the record of that key, or None."""

    def scan(self, prefix: str) -> list[Record]:
        """Return the records whose keys start with `prefix`, sorted by key."""

    def members(self) -> list[Member]:
        """Return the last incarnation of every name, sorted by name."""

    def changes(
        self, after_version: int, prefixes: Sequence[str] = ("",), watched_names: Sequence[str] | None = None
    ) -> Changes:
        """Return what changed after a version, without waiting; 0 asks for a snapshot.

        Records are those whose keys start with one of `prefixes`. Members come whatever the prefixes: all
        that changed, or, where `watched_names` are given, those that were registered or fenced, and the
        watched ones as they are now. So the renewals that a fleet reads grow linearly with it.
        """

    def take_warnings(self) -> list[str]:
        """Return lines that the operator should read, each of them once."""

    def close(self) -> None:
        """Release the resources of the store."""


# Messages between a stage and its gateway: a stage does no I/O, and asks the ledger by actions.


@dataclass(frozen=True, slots=True)
class Commit:
    """Action: commit these transactions, in order, in the next batch; answered by one `CommitCompleted`."""

    ticket: int  # a number of the stage's own, which the answer repeats
    transactions: tuple[Transaction, ...]
    owner: str = ""  # tells the stages apart


@dataclass(frozen=True, slots=True)
class CommitCompleted:
    """Event: the results of the transactions of one `Commit`, in their order."""

    ticket: int
    results: tuple[TransactionResult, ...]
    owner: str = ""


@dataclass(frozen=True, slots=True)
class Scan:
    """Action: read all records whose keys start with `prefix`; answered by one `ScanCompleted`."""

    ticket: int
    prefix: str
    owner: str = ""


@dataclass(frozen=True, slots=True)
class ScanCompleted:
    """Event: the records of one `Scan`, sorted by key; None if the ledger did not answer."""

    ticket: int
    records: tuple[Record, ...] | None
    owner: str = ""


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Action: report the renewals of these members from the next poll on; None: of all members."""

    names: tuple[str, ...] | None


@dataclass(frozen=True, slots=True)
class LedgerChanged:
    """Event: what changed in the ledger, in the order of versions.

    Sent after each poll, also when nothing changed: a missing renewal means something only if the poll
    started late enough.
    """

    changes: Changes
    poll_started_ms: float | None = None  # by this gateway's clock; None: just now


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """Event: the leases of these members expired by this gateway's clock, or they were fenced (`fenced`).

    A member that is not fenced yet may still renew its lease: what it owned is free once it is fenced. Each
    is reported once as fenced; the first poll reports those that were fenced before, too, but no earlier
    incarnations of a name that was registered again since: a stage scans its records once at the start.
    """

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LedgerUnavailable:
    """Event: the ledger does not answer. What rests on the own lease ends when that lease does."""

    reason: str


@dataclass(frozen=True, slots=True)
class LedgerRecovered:
    """Event: the ledger answers again, and this incarnation was not fenced in between."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """Event: this incarnation was fenced by another. Nothing that rests on the ledger may be started."""


# The policy handles none of these.
LEDGER_EVENTS = (
    LedgerChanged,
    CommitCompleted,
    ScanCompleted,
    LeaseExpired,
    LedgerUnavailable,
    LedgerRecovered,
    Fenced,
)
