"""The ledger: a store of state that the gateways of an installation share.

The ledger holds incarnations with leases, and records that are changed by compare-and-set. It is disabled
unless a setting names its folder; the gateway that `run` starts neither imports nor opens it. Reading order:

- `records.py`, `transactions.py`: what the ledger holds and how it is changed; `store.py`: the interface of a
  backend; `errors.py`: the exceptions
- `messages.py`, `stage.py`: the actions and events of stages; `model.py` exports all of these
- `memory.py`: the in-memory store, which defines what each transaction does
- `lease_manager.py`: the outermost stage, which renews this gateway's lease, watches the leases of other
  gateways and fences those that expired; it uses `lease_timings.py`, `member_table.py`, `renewal_watch.py`
  and `fencing_schedule.py`
- `commit_batches.py`: batches the commits of one reactor turn
- `rendezvous.py`: decides which of several incarnations is responsible for a key
- storage on disk: `framing.py`, `log_entries.py`, `log_generations.py`, `shared_log.py` (the log),
  `lease_files.py` (renewals), `disk.py` (the store), `failpoints.py` (fault injection for tests)
- use by a gateway: `config.py` (settings), `gateway_context.py` (the interface that a gateway provides),
  `background_jobs.py` (jobs on a thread), `client.py` (runs the actions of stages)

The modules of the last two groups need msgspec, so this package does not export them: import each directly.
"""

from meadowpulley.ledger.commit_batches import CommitBatch, CommitQueue
from meadowpulley.ledger.lease_manager import LeaseManager
from meadowpulley.ledger.lease_timings import LeaseTimings
from meadowpulley.ledger.memory import MemoryStore
from meadowpulley.ledger.model import (
    LEDGER_EVENTS,
    Changes,
    CheckVersion,
    Commit,
    CommitCompleted,
    Create,
    Fence,
    Fenced,
    Incarnation,
    LeaseExpired,
    LedgerChanged,
    LedgerError,
    LedgerRecovered,
    LedgerUnavailable,
    LedgerUnusableError,
    Member,
    Record,
    ReleaseLease,
    Remove,
    RenewLease,
    Replace,
    Scan,
    ScanCompleted,
    Store,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    WatchRequest,
    Write,
)
from meadowpulley.ledger.rendezvous import rendezvous_order
from meadowpulley.ledger.stage import Stage

__all__ = [
    "LEDGER_EVENTS",
    "Changes",
    "CheckVersion",
    "Commit",
    "CommitBatch",
    "CommitCompleted",
    "CommitQueue",
    "Create",
    "Fence",
    "Fenced",
    "Incarnation",
    "LeaseExpired",
    "LeaseManager",
    "LeaseTimings",
    "LedgerChanged",
    "LedgerError",
    "LedgerRecovered",
    "LedgerUnavailable",
    "LedgerUnusableError",
    "Member",
    "MemoryStore",
    "Record",
    "ReleaseLease",
    "Remove",
    "RenewLease",
    "Replace",
    "Scan",
    "ScanCompleted",
    "Stage",
    "Store",
    "Transaction",
    "TransactionOutcome",
    "TransactionResult",
    "WatchRequest",
    "Write",
    "rendezvous_order",
]
