"""Takeover: another gateway claims each journaled request of a lost gateway.

The gateway that claims a request either adopts it, or records its final state if it may not be executed
again or too little time remains. If that gateway is lost too, another one may claim the request, up to a
maximum number of owners; a request has one owner at a time.

Takeover is off unless the environment variable MEADOWPULLEY_TAKEOVER is set. Requests are journaled in the
ledger. The modules, in a sensible reading order:

- `records` (the stored formats), `errors`, `messages` (events and actions), `settings`, `settings_reader`
  (reads the settings from the environment);
- shared by all parts: `transaction_builder` (collects the output of one event), `context` (the constructor
  arguments that the parts share);
- requests of this gateway: `journaled_request` (one request), `record_writes` (writes its record to the
  ledger), `journal_table` (all journaled requests), `wakeups` (when to check each request),
  `latency_estimates`, `server_locations`, `client_answers`, `request_journal` (holds sends until they are
  granted, and responses until they are recorded);
- `duplicate_waiters` (clients that repeat a request), `response_cache` (keeps finished requests);
- requests of lost gateways: `ledger_view` (the last known contents of the ledger), `adoption` (whether a
  request may be adopted, and in which order), `orphan_ranking` (which survivor may claim first), `claim` (one
  claim), `pending_claims` (the claims in progress), `orphan_claims` (which orphans to claim);
- `entry_factory` (creates journal entries), `request_intake` (decides how to handle a client's request),
  `stage` (combines these parts into one stage in front of the policy), `extension` (connects that stage to a
  gateway with sockets).
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
