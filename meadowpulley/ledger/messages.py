"""The messages between stages and the ledger.

A stage does no I/O. It sends requests to the ledger as actions, and receives answers and changes as events.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.ledger.records import Changes, Member, Record
from meadowpulley.ledger.transactions import Transaction, TransactionResult


@dataclass(frozen=True, slots=True)
class Commit:
    """Action: commit these transactions, in order, in the next batch; answered by one `CommitCompleted`."""

    ticket: int  # a number that the stage chooses; the `CommitCompleted` repeats it
    transactions: tuple[Transaction, ...]
    owner: str = ""  # identifies the stage, since stages choose their tickets independently


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
    """Event: the records of one `Scan`, sorted by key, or None if the ledger could not answer."""

    ticket: int
    records: tuple[Record, ...] | None
    owner: str = ""


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Action: from the next poll on, read the renewals of the named members (None: of all members)."""

    names: tuple[str, ...] | None


@dataclass(frozen=True, slots=True)
class LedgerChanged:
    """Event: the changes in the ledger since the last poll, in order of version.

    It is sent after each poll, even if nothing changed: a poll that started after the end of a lease and
    found no renewal shows that the lease has expired.
    """

    changes: Changes
    poll_started_ms: float | None = None  # time on this gateway's clock; None: the present time


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """Event: these members' leases expired by this gateway's clock, or the members were fenced.

    A member whose `fenced` is False may still renew its lease, so others may take over what it owned only
    once it is fenced. Each member is reported once as fenced. The first poll also reports members that were
    fenced earlier, but not older incarnations of a name that was registered again since; to find the records
    of those, a stage scans all its records once at startup.
    """

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LedgerUnavailable:
    """Event: the ledger does not answer. The gateway may act on its lease only until the lease ends."""

    reason: str


@dataclass(frozen=True, slots=True)
class LedgerRecovered:
    """Event: the ledger answers again, and this incarnation was not fenced in between."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """Event: another incarnation fenced this one. Nothing that depends on the ledger may be started."""


LedgerAction: TypeAlias = Commit | Scan | WatchRequest
LedgerEvent: TypeAlias = (
    LedgerChanged
    | CommitCompleted
    | ScanCompleted
    | LeaseExpired
    | LedgerUnavailable
    | LedgerRecovered
    | Fenced
)
# All ledger events, for `isinstance` checks; the policy handles none of them.
LEDGER_EVENTS = (
    LedgerChanged,
    CommitCompleted,
    ScanCompleted,
    LeaseExpired,
    LedgerUnavailable,
    LedgerRecovered,
    Fenced,
)
