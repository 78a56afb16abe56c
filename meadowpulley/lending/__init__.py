"""Quotas on the capacity of all gateways together, where idle capacity is lent between tenants.

Each tenant has a guaranteed quota; what owners leave idle is lent to others in grants that expire. Modules in
reading order: `plan` (capacity and quotas), `records` (what is stored in the ledger), `max_min_fairness` (how
capacity is divided), `demand_estimator` (what tenants demand here), `quota_enforcer` (token buckets: what may
be admitted now), `quota_client` (this gateway's reports and grants), `allocator` (answers all reports within
the capacity), `allocator_election` (which gateway allocates), `stage` (stands before the next stage),
`config` (settings). All of it is free of I/O. `docs/design/lending.md` has the alternatives that were
considered, the guarantees, and the measurements.
"""

from meadowpulley.lending.config import read_plan
from meadowpulley.lending.plan import Quota, QuotaPlan, QuotaPlanError
from meadowpulley.lending.quota_enforcer import Admission
from meadowpulley.lending.stage import LendingStage

__all__ = ["Admission", "LendingStage", "Quota", "QuotaPlan", "QuotaPlanError", "read_plan"]
