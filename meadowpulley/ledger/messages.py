"""The messages between a stage and its gateway: a stage does no I/O, and asks the ledger by actions.

Its answers and what changed in it come back as events.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.ledger.records import Changes, Member, Record
from meadowpulley.ledger.transactions import Transaction, TransactionResult


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
# For `isinstance`: the policy handles none of these.
LEDGER_EVENTS = (
    LedgerChanged,
    CommitCompleted,
    ScanCompleted,
    LeaseExpired,
    LedgerUnavailable,
    LedgerRecovered,
    Fenced,
)
