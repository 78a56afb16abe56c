"""What the gateways of an installation share: lives with leases, and records that change by compare-and-set.

Off unless a setting names it; the gateway that `run` starts neither imports nor opens it. Reading order:
`model.py` (lives, records, steps, the store's protocol, what stages ask and are told), `memory.py` (the store
in memory).
"""

from meadowpulley.ledger.memory import MemoryStore
from meadowpulley.ledger.model import (
    Changed,
    Changes,
    Commit,
    Committed,
    Create,
    Done,
    Ended,
    How,
    Leave,
    LedgerBack,
    LedgerError,
    LedgerLost,
    Life,
    Member,
    Record,
    RefusedError,
    Remove,
    Renew,
    Replace,
    Seal,
    Step,
    Store,
    Suspected,
    Unchanged,
    Write,
)

__all__ = [
    "Changed",
    "Changes",
    "Commit",
    "Committed",
    "Create",
    "Done",
    "Ended",
    "How",
    "Leave",
    "LedgerBack",
    "LedgerError",
    "LedgerLost",
    "Life",
    "Member",
    "MemoryStore",
    "Record",
    "RefusedError",
    "Remove",
    "Renew",
    "Replace",
    "Seal",
    "Step",
    "Store",
    "Suspected",
    "Unchanged",
    "Write",
]
