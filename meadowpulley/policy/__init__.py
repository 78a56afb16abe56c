"""Every decision of meadowpulley; its settings, events and actions are in meadowpulley/interface.

In reading order: `endpoints`, `outlier_detection`, `routing`, `admission`, `evidence`, `rollout`, `policy`.
"""

from meadowpulley.policy.endpoint_poll_backoff import LIST_CALL_SPACING_MS
from meadowpulley.policy.policy import TIMER_TOKEN, RolloutPolicy

__all__ = ["LIST_CALL_SPACING_MS", "TIMER_TOKEN", "RolloutPolicy"]
