"""World C: two gateways, one ledger, two servers and three requests, with the real stages.

Each gateway is the real keeper of its lease round the real stages round the real decisions, on the ledger in
memory. Explored are kills, stops and wakes at every step, answers of the ledger that are lost or late,
attempts that run late, clients that ask again, planned stops and new lives. Time stands still but in a step
of its own.

Reading order: `scenes`, `books` (what must hold, watched), `node` (one gateway), `state`, `enabled` (what may
happen next, and what it costs), `words` (for people), `world` (taking a step).
"""

from meadowpulley.model_checking.shared_state_model.configurations import CONFIGURATIONS
from meadowpulley.model_checking.shared_state_model.transitions import SharedStateModel

__all__ = ["CONFIGURATIONS", "SharedStateModel"]
