"""Enforce tenant quotas on the capacity of all gateways, and lend idle capacity between tenants.

Each tenant has a guaranteed quota. Capacity that its owner does not use is lent to other tenants in grants
that expire. Modules in reading order: `plan` (capacity and quotas), `plan_agreement` (which plan is in
force), `records` (what is stored in the ledger), `max_min_fairness` (how capacity is divided),
`demand_estimator` (estimated demand at this gateway), `tenant_buckets` and `quota_enforcer` (token buckets
that decide what may be admitted now), `quota_client` (this gateway's reports and grants), `reservations`
(what gateways may still use), `entitlement` (what one gateway should get), `allocator` (answers all reports
within the capacity), `allocator_election` (which gateway allocates), `stage` (pipeline stage that admits
requests), `config` (settings), `errors`. None of these modules does I/O. `docs/design/lending.md` describes
the alternatives that were considered, the guarantees, and the measurements.
"""

from meadowpulley.lending.config import read_plan
from meadowpulley.lending.errors import LendingError, QuotaPlanError
from meadowpulley.lending.plan import Quota, QuotaPlan
from meadowpulley.lending.quota_enforcer import Admission
from meadowpulley.lending.stage import LendingStage

__all__ = [
    "Admission",
    "LendingError",
    "LendingStage",
    "Quota",
    "QuotaPlan",
    "QuotaPlanError",
    "read_plan",
]
