"""What the gateways of an installation share: lives with leases, and records that change by compare-and-set.

Off unless a setting names it; the gateway that `run` starts neither imports nor opens it. Reading order:
`model.py` (lives, records, steps, the store's protocol, what stages ask and are told), `memory.py` (the
store in memory), `keeper.py` (the own lease, the others' watched; the outermost stage), `groups.py`
(commits of one turn), `rendezvous.py` (who of several lives is the one for a key). On a disk: `lines.py`
(framing), `entries.py` (what stands in a line), `log.py` (the log and its generations), `leases.py`
(renewals), `disk.py` (the store); `failpoints.py` (where a test lets a process die). These are imported by
name, as they need msgspec. The gateway's edge: `config.py` (what it is told), `client.py` (carries out what
stages ask).
"""

from meadowpulley.ledger.groups import Group, Groups
from meadowpulley.ledger.keeper import Keeper, Stage, Terms
from meadowpulley.ledger.memory import MemoryStore
from meadowpulley.ledger.model import (
    LEDGER_EVENTS,
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
    Scan,
    Scanned,
    Seal,
    Step,
    Store,
    Suspected,
    Unchanged,
    Watched,
    Write,
)
from meadowpulley.ledger.rendezvous import choose

__all__ = [
    "LEDGER_EVENTS",
    "Changed",
    "Changes",
    "Commit",
    "Committed",
    "Create",
    "Done",
    "Ended",
    "Group",
    "Groups",
    "How",
    "Keeper",
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
    "Scan",
    "Scanned",
    "Seal",
    "Stage",
    "Step",
    "Store",
    "Suspected",
    "Terms",
    "Unchanged",
    "Watched",
    "Write",
    "choose",
]
