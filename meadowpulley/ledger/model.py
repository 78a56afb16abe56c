"""Re-exports of the ledger's records, transactions, messages, errors and backend interface.

Nothing is defined in this module.
"""

from meadowpulley.ledger.errors import (
    LedgerError,
    LedgerUnusableError,
)
from meadowpulley.ledger.messages import (
    LEDGER_EVENTS,
    Commit,
    CommitCompleted,
    Fenced,
    LeaseExpired,
    LedgerChanged,
    LedgerRecovered,
    LedgerUnavailable,
    Scan,
    ScanCompleted,
    WatchRequest,
)
from meadowpulley.ledger.records import (
    Changes,
    Incarnation,
    Member,
    Record,
)
from meadowpulley.ledger.store import (
    Store,
)
from meadowpulley.ledger.transactions import (
    CheckVersion,
    Create,
    Fence,
    ReleaseLease,
    Remove,
    RenewLease,
    Replace,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    Write,
)

__all__ = [
    "LEDGER_EVENTS",
    "Changes",
    "CheckVersion",
    "Commit",
    "CommitCompleted",
    "Create",
    "Fence",
    "Fenced",
    "Incarnation",
    "LeaseExpired",
    "LedgerChanged",
    "LedgerError",
    "LedgerRecovered",
    "LedgerUnavailable",
    "LedgerUnusableError",
    "Member",
    "Record",
    "ReleaseLease",
    "Remove",
    "RenewLease",
    "Replace",
    "Scan",
    "ScanCompleted",
    "Store",
    "Transaction",
    "TransactionOutcome",
    "TransactionResult",
    "WatchRequest",
    "Write",
]
