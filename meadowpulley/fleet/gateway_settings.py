"""Derives the platform's settings object for a gateway from the description of its fleet."""

from __future__ import annotations

from typing import Any

from meadowpulley.fleet.model import Fleet, RequestClass
from meadowpulley.interface import Settings
from meadowpulley.settings import read_settings

POLL_INTERVAL_MS = 5.0
_EFFECT_NAMES = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


def gateway_settings_object(fleet: Fleet, gateway_index: int) -> dict[str, Any]:
    """Return the settings of a gateway as nested JSON, with the platform's names and units."""
    return {
        "me": gateway_index,
        "balancers": len(fleet.gateway_sites()),
        "az": fleet.gateway_sites()[gateway_index],
        "zones": [site.name for site in fleet.sites],
        "machine-types": [kind.name for kind in fleet.kinds],
        "period-ms": POLL_INTERVAL_MS,
        "discovery": "subscribe" if fleet.discovery.must_subscribe else "automatic",
        "classes": [_class_object(c) for c in fleet.classes],
        "rules": _rules_object(fleet),
        "bounds": _limits_object(fleet, gateway_index),
        "family": "rollout",
        "family-info": _rollout_object(fleet),
    }


def _class_object(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "target-ms": request_class.latency_objective_ms,
        "hard-limit-ms": request_class.deadline_ms,
        "repeat": _EFFECT_NAMES[request_class.effect],
        "group": "all",
        "dedup-window-ms": request_class.window_ms,
        "worth": request_class.priority_weight,
        "late-worth": request_class.late_weight_share,
    }


def _rules_object(fleet: Fleet) -> dict[str, Any]:
    rules = fleet.rules
    return {
        "answer-slack-ms": rules.answer_slack_ms,
        "ask-within-ms": 10_000.0,
        "cold-from": min(kind.slow_start_from for kind in fleet.kinds),
        "cold-ms": max(kind.slow_start_ms for kind in fleet.kinds),
        "fall-multiple": rules.overload_multiple,
        "tip-after-ms": rules.overload_window_ms,
        "stop-sending-within-ms": rules.drain_grace_ms,
    }


def _limits_object(fleet: Fleet, gateway_index: int) -> dict[str, Any]:
    rules = fleet.rules
    return {
        "most-tries": rules.max_attempts,
        "may-duplicate": rules.hedging,
        "cancelling": rules.cancel,
        "probing": False,
        "may-tell": rules.gossip,
        "retry-after": rules.max_retry_after_ms > 0,
        "max-retry-after-ms": rules.max_retry_after_ms,
        "connect-timeout-ms": rules.connect_timeout_ms,
        "max-open": fleet.gateway_groups()[gateway_index].descriptors,
        "conn-idle-ms": rules.idle_ms,
    }


def _rollout_object(fleet: Fleet) -> dict[str, Any]:
    rollout = fleet.rollout
    return {
        "gate-mode": rollout.gate,
        "style": rollout.style,
        "steps": list(rollout.stages),
        "caps": list(rollout.caps),
        "soak-ms": rollout.soak_ms,
        "stage-time-ms": rollout.stage_time_ms,
        "on-votes": rollout.advance_votes,
        "votes-to-hold": rollout.hold_votes,
        "votes-to-revert": rollout.rollback_votes,
        "ballot-ttl-ms": rollout.vote_ttl_ms,
        "votes-per-s": rollout.votes_per_s,
        "api-timeout-ms": rollout.call_timeout_ms,
        "news-period-ms": rollout.update_period_ms,
        "exposure-window-ms": rollout.exposure_window_ms,
        "free": rollout.exposure_free,
        "per": "class" if rollout.per_class else "all",
        "safe-only-stages": rollout.guarded_stages,
        "one-way": rollout.one_way,
        "warm-keys": fleet.keys.work_saved > 0,
    }


def gateway_settings(fleet: Fleet, gateway_index: int) -> Settings:
    """Return the settings of a gateway, read by the same code that the gateway uses."""
    return read_settings(gateway_settings_object(fleet, gateway_index), f"gateway {gateway_index}")
