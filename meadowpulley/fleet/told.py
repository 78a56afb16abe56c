"""What a gateway of a described fleet is told at its start: the platform's settings object."""

from __future__ import annotations

from typing import Any

from meadowpulley.fleet.model import Fleet
from meadowpulley.interface import Settings
from meadowpulley.settings import read_settings

TICK_MS = 5.0
_REPEAT = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


def settings_object(fleet: Fleet, me: int) -> dict[str, Any]:
    """The settings of gateway number `me` as nested JSON, with the names and units of the platform."""
    rules, roll = fleet.rules, fleet.rollout
    return {
        "me": me,
        "balancers": len(fleet.gateway_sites()),
        "az": fleet.gateway_sites()[me],
        "zones": [site.name for site in fleet.sites],
        "machine-types": [kind.name for kind in fleet.kinds],
        "period-ms": TICK_MS,
        "discovery": "subscribe" if fleet.discovery.must_ask else "automatic",
        "classes": [
            {
                "name": c.name,
                "target-ms": c.aim_ms,
                "hard-limit-ms": c.deadline_ms,
                "repeat": _REPEAT[c.effect],
                "group": "all",
                "dedup-window-ms": c.window_ms,
                "worth": c.worth,
                "late-worth": c.late_worth,
            }
            for c in fleet.classes
        ],
        "rules": {
            "answer-slack-ms": rules.answer_slack_ms,
            "ask-within-ms": 10_000.0,
            "cold-from": min(kind.cold_from for kind in fleet.kinds),
            "cold-ms": max(kind.cold_ms for kind in fleet.kinds),
            "fall-multiple": rules.fall_multiple,
            "tip-after-ms": rules.fall_ms,
            "stop-sending-within-ms": rules.drain_grace_ms,
        },
        "bounds": {
            "most-tries": rules.max_attempts,
            "may-duplicate": rules.second_copies,
            "cancelling": rules.cancel,
            "probing": False,
            "may-tell": rules.peers,
            "retry-after": rules.max_retry_after_ms > 0,
            "max-retry-after-ms": rules.max_retry_after_ms,
            "connect-timeout-ms": rules.connect_timeout_ms,
            "max-open": fleet.gateway_figures()[me].descriptors,
            "conn-idle-ms": rules.idle_ms,
        },
        "family": "rollout",
        "family-info": {
            "gate-mode": roll.gate,
            "style": roll.style,
            "steps": list(roll.stages),
            "caps": list(roll.caps),
            "soak-ms": roll.soak_ms,
            "stage-time-ms": roll.stage_time_ms,
            "on-votes": roll.on_votes,
            "votes-to-hold": roll.hold_votes,
            "votes-to-revert": roll.back_votes,
            "ballot-ttl-ms": roll.vote_life_ms,
            "votes-per-s": roll.votes_per_s,
            "api-timeout-ms": roll.call_timeout_ms,
            "news-period-ms": roll.news_period_ms,
            "exposure-window-ms": roll.exposure_window_ms,
            "free": roll.exposure_free,
            "per": "class" if roll.per_class else "all",
            "safe-only-stages": roll.guarded_stages,
            "one-way": roll.one_way,
            "warm-keys": fleet.keys.gain > 0,
        },
    }


def settings_of(fleet: Fleet, me: int) -> Settings:
    """The same, read as the gateway reads it."""
    return read_settings(settings_object(fleet, me), f"gateway {me}")
