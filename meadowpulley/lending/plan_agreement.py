"""Agree with the other gateways on one quota plan, through the plan record in the ledger.

The plan with the highest version wins. A gateway writes the plan from its own settings if the ledger has no
plan or an older one, and drops it once the ledger has a plan with at least the same version.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowpulley.interface import QuotaPlanConflict
from meadowpulley.ledger.model import Commit
from meadowpulley.lending.plan import QuotaPlan, encode_plan
from meadowpulley.lending.records import PLAN_KEY, conditional_write


class PlanAgreement:
    """Propose this gateway's plan to the ledger until the ledger has one at least as new."""

    def __init__(self, proposed: QuotaPlan) -> None:
        self.proposed: QuotaPlan | None = proposed  # None once the ledger has a plan as new
        self.record_version = 0  # version of the plan record observed last; 0: none observed
        self.ticket = 0  # ticket of the write in flight; 0: none

    def propose(self, current: QuotaPlan, next_ticket: Callable[[], int]) -> list[Commit]:
        """Write the proposed plan if the ledger has none or an older one; `current` is the plan in force."""
        if self.proposed is None or self.ticket:
            return []
        if self.record_version and self.proposed.version <= current.version:
            return []
        self.ticket = next_ticket()
        value = encode_plan(self.proposed)
        return [conditional_write(self.ticket, PLAN_KEY, value, self.record_version)]

    def on_committed(self, ticket: int) -> bool:
        """Clear the write in flight if it has this ticket; return whether it had.

        The result of the commit is not needed: a plan that was written arrives as a change of the record.
        """
        if ticket != self.ticket:
            return False
        self.ticket = 0
        return True

    def drop_proposal(self, plan: QuotaPlan) -> list[QuotaPlanConflict]:
        """Drop the proposed plan if the ledger's `plan` is as new; report a conflict between the two."""
        proposed = self.proposed
        if proposed is None or proposed.version > plan.version:
            return []
        self.proposed = None
        if proposed.version < plan.version or proposed == plan:
            return []
        return [QuotaPlanConflict(plan.version)]
