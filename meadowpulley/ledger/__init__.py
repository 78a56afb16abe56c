"""The ledger: state that the gateways of an installation share.

It holds incarnations with leases, and records that change by compare-and-set. It is off unless a setting
names it; the gateway that `run` starts neither imports nor opens it. Reading order:

- `records.py`, `transactions.py`: what the ledger holds, and how it changes; `store.py`: the interface of a
  backend; `errors.py`
- `messages.py`, `stage.py`: the actions and events of stages; `model.py` exports all of these
- `memory.py`: the store in memory, which defines what each transaction does
- `lease_manager.py`: the outermost stage: renews the own lease, watches the others, fences the lost, with
  `lease_timings.py`, `member_table.py`, `renewal_watch.py` and `fencing_schedule.py`
- `commit_batches.py`: the commits of one reactor turn, batched
- `rendezvous.py`: which of several incarnations is responsible for a key
- on a disk: `framing.py`, `log_entries.py`, `log_generations.py`, `shared_log.py` (the log),
  `lease_files.py` (renewals), `disk.py` (the store), `failpoints.py` (where a test lets a process fail)
- at a gateway: `config.py` (settings), `gateway_context.py` (what a gateway offers), `background_jobs.py`
  (jobs on a thread), `client.py` (runs the actions of stages)

The modules of the last two groups are imported by name, since they need msgspec.
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
