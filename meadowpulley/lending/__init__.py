"""Capacity lent between tenants: each has its share of what all gateways may admit, and what owners leave
idle is lent to others, in grants that end by themselves.

Reading order: `model` (the plan, and the records in the ledger), `split` (who gets what, max-min by weight),
`demand` (what tenants ask for here), `holder` (token buckets: what this gateway may admit now), `seat` (its
asking and its grant), `allocator` (answers all askings; keeps the sum within the capacity), `office` (which
gateway allocates), `stage` (the stage before the next one), `config` (settings, checked). All of it is pure.
`docs/design/lending.md` has the ways weighed, the promises and what was measured.
"""

from meadowpulley.lending.config import read_plan
from meadowpulley.lending.holder import Admission
from meadowpulley.lending.model import Plan, PlanError, Share
from meadowpulley.lending.stage import Lending

__all__ = ["Admission", "Lending", "Plan", "PlanError", "Share", "read_plan"]
