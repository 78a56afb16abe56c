"""Work in hand survives the loss of its gateway: it is in the ledger, and another takes it over, once.

Off unless a setting names it. Reading order: `model.py` (records, settings, events and actions), `hand.py`
(one request and what its record should say), `hands.py` (sends held until their right is won, answers until
they are recorded), `mirror.py` (what was seen of the ledger), `adopt.py` (what a survivor may do, and which
first), `orphans.py` (sealing and claiming), `answers.py` (asks that wait, answers that are kept), `turn.py`,
`stage.py` (all of it as one stage before the decisions).
"""

from meadowpulley.takeover.model import (
    COMMIT_OWNER,
    MAX_BODY_BYTES,
    TIMER_TOKEN,
    WATCHED_PREFIXES,
    AdoptionResult,
    AdoptRequest,
    ClientDetached,
    ClientRequest,
    Deliver,
    Discard,
    JournalScope,
    ResponseReady,
    ShutdownNotice,
    TakeoverSettings,
)
from meadowpulley.takeover.stage import TakeoverStage

__all__ = [
    "COMMIT_OWNER",
    "MAX_BODY_BYTES",
    "TIMER_TOKEN",
    "WATCHED_PREFIXES",
    "AdoptRequest",
    "AdoptionResult",
    "ClientDetached",
    "ClientRequest",
    "Deliver",
    "Discard",
    "JournalScope",
    "ResponseReady",
    "ShutdownNotice",
    "TakeoverSettings",
    "TakeoverStage",
]
