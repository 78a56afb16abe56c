"""Work in hand survives the loss of its gateway: it is in the ledger, and another takes it over, once.

Off unless a setting names it. Reading order: `model.py` (records, settings, events and actions), `hand.py`
(one request and what its record should say), `hands.py` (sends held until their right is won, answers until
they are recorded), `mirror.py` (what was seen of the ledger), `adopt.py` (what a survivor may do, and which
first), `orphans.py` (sealing and claiming), `answers.py` (asks that wait, answers that are kept), `turn.py`,
`stage.py` (all of it as one stage before the decisions).
"""

from meadowpulley.takeover.model import (
    BODY_MAX,
    OWNER,
    TOKEN,
    WATCHED,
    Adopt,
    AnswerReady,
    ClientGone,
    Drop,
    Pass,
    Placed,
    Stopping,
    Taken,
    Terms,
    Written,
)
from meadowpulley.takeover.stage import Takeover

__all__ = [
    "BODY_MAX",
    "OWNER",
    "TOKEN",
    "WATCHED",
    "Adopt",
    "AnswerReady",
    "ClientGone",
    "Drop",
    "Pass",
    "Placed",
    "Stopping",
    "Taken",
    "Takeover",
    "Terms",
    "Written",
]
