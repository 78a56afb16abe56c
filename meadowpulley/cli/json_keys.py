"""Keys of the `--json` results that scripts rely on, where a field of the result has another name."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

SITE_LOSS_KEYS = {
    "remaining_utilisation": "rest",
    "rejected_theory": "refused_theory",
    "weight_before": "worth_before",
    "weight_away": "worth_away",
    "weight_settled": "worth_settled",
    "weight_after": "worth_after",
    "rejected_away": "refused_away",
    "extra_servers": "more",
    "overloaded_servers": "pushed_over",
}
SIZING_KEYS = {
    "served_weight_share": "worth",
    "current": "now",
    "minimum": "floor",
    "reason": "why",
}
SPIKE_KEYS = {
    "queued_backlog": "held",
    "weight_during": "worth_during",
    "weight_during_unlimited": "worth_during_unrefused",
    "weight_overall": "worth_whole",
    "weight_overall_unlimited": "worth_whole_unrefused",
    "rejected_during": "refused_during",
    "clears_unlimited_s": "clears_unrefused_s",
    "timeline_unlimited": "timeline_unrefused",
}
DEMO_KEYS = {"rolled_back": "withdrawn"}


def with_keys(value: Any, keys: Mapping[str, str]) -> Any:
    """Return a result with the keys of its objects, at every depth, replaced by those of the output."""
    if isinstance(value, dict):
        return {keys.get(key, key): with_keys(item, keys) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [with_keys(item, keys) for item in value]
    return value
