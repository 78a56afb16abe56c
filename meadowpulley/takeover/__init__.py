"""Takeover: requests in flight survive the loss of their gateway, and another gateway takes each over once.

Off unless a setting names it. Each request is journaled in the ledger. Reading order:

- `records` (what is stored), `errors`, `messages` (events and actions), `settings`, `settings_reader` (from
  the environment);
- of one event: `transaction_builder` (the output), `context` (what the parts are constructed with);
- requests of this gateway: `journaled_request` (one request), `record_writes` (its record in the ledger),
  `journal_table` (all of them), `wakeups` (when to check each), `latency_estimates`, `server_locations`,
  `client_answers`, `request_journal` (holds sends until they are granted, and responses until they are
  recorded);
- `duplicate_waiters` (clients that repeat a request), `response_cache` (finished requests that are kept);
- requests of lost gateways: `ledger_view` (what was seen of the ledger), `adoption` (what a survivor may do,
  and which request first), `orphan_ranking` (which survivor first), `claim` (one claim), `pending_claims`
  (those under way), `orphan_claims` (which orphans to claim);
- `entry_factory` (journal entries), `request_intake` (what becomes of a client's request), `stage` (all of it
  as one stage in front of the policy), `extension` (that stage at a gateway with sockets).
"""

from meadowpulley.takeover.messages import (
    COMMIT_OWNER,
    TIMER_TOKEN,
    AdoptionResult,
    AdoptRequest,
    ClientDetached,
    ClientRequest,
    Deliver,
    Discard,
    ResponseReady,
    ShutdownNotice,
)
from meadowpulley.takeover.records import MAX_BODY_BYTES, WATCHED_PREFIXES
from meadowpulley.takeover.settings import JournalScope, TakeoverSettings
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
