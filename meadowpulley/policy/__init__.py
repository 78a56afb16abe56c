"""Makes all decisions of meadowpulley. Settings, events and actions are in meadowpulley/interface.

The modules, in reading order, handle requests (`admission`, `concurrency_limit`, `routing` with
`trial_assignment`, `server_selection`, `server_subset` and `health_probes`, `sending`, `outcomes`,
`retry_budget`, `final_response`), the rules for sending an attempt (`send_permission` with `endpoint_lease`,
`retry_eligibility`, `exposure`, `rollout_stage`, `slow_start_budget`), servers (`endpoints`,
`endpoint_poll_backoff`, `endpoint_list_confirmation`, `outlier_detection`), and the rollout
(`failure_evidence`, `outcome_gossip`, `latency_comparison`, `shared_slowdown`, `verdict`, `voting`).
`policy` dispatches each event to the module that handles it.
"""

from meadowpulley.policy.endpoint_poll_backoff import LIST_CALL_SPACING_MS
from meadowpulley.policy.policy import TIMER_TOKEN, RolloutPolicy

__all__ = ["LIST_CALL_SPACING_MS", "TIMER_TOKEN", "RolloutPolicy"]
