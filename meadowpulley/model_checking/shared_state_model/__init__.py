"""The shared-state model: two gateways, one ledger, two servers and three requests, with the real stages.

Each gateway is the real lease manager round the real stages round the real policy, on the ledger in memory.
Explored are kills, stops and resumptions at every step, replies of the ledger that are lost or late, attempts
that run late, clients that retry, planned stops and new incarnations. Time stands still but in a step of
its own.

Reading order: `configurations`, `invariant_monitor` (what must hold), `gateway_state` and `gateway`, `state`,
`enabled_steps` (what may happen next, and what it costs), `descriptions` (for people), `transitions`
(applying a step).
"""

from meadowpulley.model_checking.shared_state_model.configurations import CONFIGURATIONS
from meadowpulley.model_checking.shared_state_model.transitions import SharedStateModel

__all__ = ["CONFIGURATIONS", "SharedStateModel"]
