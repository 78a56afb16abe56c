"""Which quota plan is in force: the ledger's record, and the plan of this gateway's own settings.

The plan of the greatest version wins. A gateway writes its own settings' plan where the ledger has none, or
an older one, and gives it up once the ledger's is as new.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowpulley.interface import QuotaPlanConflict
from meadowpulley.ledger.model import Commit
from meadowpulley.lending.plan import QuotaPlan, encode_plan
from meadowpulley.lending.records import PLAN_KEY, conditional_write


class PlanAgreement:
    """One gateway's part in agreeing on a plan through the ledger's record."""

    def __init__(self, proposed: QuotaPlan) -> None:
        self.proposed: QuotaPlan | None = proposed  # of the settings, until the ledger's is as new
        self.record_version = 0  # of the ledger's record; 0: none observed
        self.ticket = 0  # of the write in flight; 0: none

    def propose(self, current: QuotaPlan, next_ticket: Callable[[], int]) -> list[Commit]:
        """Write the settings' plan where the ledger has none, or an older one than that; `current` is it."""
        if self.proposed is None or self.ticket:
            return []
        if self.record_version and self.proposed.version <= current.version:
            return []
        self.ticket = next_ticket()
        value = encode_plan(self.proposed)
        return [conditional_write(self.ticket, PLAN_KEY, value, self.record_version)]

    def on_committed(self, ticket: int) -> bool:
        """Process the end of the write in flight; return whether this was one.

        Its result comes as a change of the record.
        """
        if ticket != self.ticket:
            return False
        self.ticket = 0
        return True

    def drop_proposal(self, plan: QuotaPlan) -> list[QuotaPlanConflict]:
        """Give up the settings' plan where the ledger's `plan` is as new; log where the two contradict."""
        proposed = self.proposed
        if proposed is None or proposed.version > plan.version:
            return []
        self.proposed = None
        if proposed.version < plan.version or proposed == plan:
            return []
        return [QuotaPlanConflict(plan.version)]
