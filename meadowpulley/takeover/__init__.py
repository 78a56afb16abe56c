"""Takeover: requests in flight survive the loss of their gateway, and another gateway takes each over once.

Off unless a setting names it. Each request is journaled in the ledger. Reading order:

- `records` (what is stored), `messages` (events and actions), `settings`, `settings_reader` (from the
  environment);
- `journaled_request` (one request and its record), `request_journal` (holds sends until they are granted, and
  responses until they are recorded);
- `ledger_view` (what was seen of the ledger), `adoption` (what a survivor may do, and which request first),
  `orphan_claims` (claims of lost gateways' requests), `entry_factory`;
- `duplicate_waiters` (clients that repeat a request), `response_cache` (finished requests that are kept);
- `transaction_builder`, `stage` (all of it as one stage in front of the policy), `extension` (that stage at
  a gateway with sockets).
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
