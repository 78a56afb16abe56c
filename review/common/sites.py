"""Settings of small deployments, with the figures of the users' pages and site files."""

from __future__ import annotations

from typing import Any

RELEASED = {"release": 41, "tranche": 2, "mode": "stable", "exposure": 1.0, "old_ms": 60_000}
ON_TRIAL = {"release": 42, "tranche": 0, "mode": "canary", "exposure": 0.2, "old_ms": 12_000}


def _request_class(name: str, repeat: str, aim_ms: float, give_up_ms: float, worth: float) -> dict[str, Any]:
    return {
        "name": name,
        "repeat": repeat,
        "group": "all",
        "dedup-window-ms": 2500.0,
        "target-ms": aim_ms,
        "hard-limit-ms": give_up_ms,
        "worth": worth,
        "late-worth": 0.0,
        "stream": False,
    }


def _settings(**changed: Any) -> dict[str, Any]:
    settings: dict[str, Any] = {
        "me": 0,
        "balancers": 3,
        "az": 0,
        "zones": ["a"],
        "period-ms": 5.0,
        "machine-types": ["m2"],
        "tier": 0,
        "tiers": ["instances"],
        "family": "rollout",
        "tenants": [],
        "weight-source": "off",
        "worth-by": "request",
        "clients": {"marks-retry": True},
        "report": {"columns": [], "source": "off"},
        "prices": {},
        "score-parts": {"whole": 1.0},
    }
    return settings | changed


def _bounds(**changed: Any) -> dict[str, Any]:
    bounds: dict[str, Any] = {
        "cancelling": True,
        "conn-idle-ms": 30_000.0,
        "connect-timeout-ms": 250.0,
        "max-open": 20_000,
        "max-retry-after-ms": 500.0,
        "may-duplicate": False,
        "may-tell": False,
        "most-tries": 5,
        "multiplex": 1,
        "probing": True,
        "retry-after": True,
    }
    return bounds | changed


def _rules(**changed: float) -> dict[str, float]:
    rules = {
        "answer-slack-ms": 20.0,
        "ask-within-ms": 10_000.0,
        "cold-from": 0.3,
        "cold-ms": 4800.0,
        "fall-multiple": 3.0,
        "stop-sending-within-ms": 500.0,
        "tip-after-ms": 1500.0,
    }
    return rules | changed


def _rollout(**changed: Any) -> dict[str, Any]:
    rollout: dict[str, Any] = {
        "api-timeout-ms": 2000.0,
        "ballot-ttl-ms": 4000.0,
        "caps": [0.2, 0.7, 1.0],
        "exposure-window-ms": 6000.0,
        "free": 1.0,
        "gate-mode": "share",
        "news-period-ms": 4000.0,
        "on-votes": 2,
        "one-way": False,
        "per": "all",
        "soak-ms": 3000.0,
        "steps": [0.1, 0.35, 1.0],
        "style": "in_place",
        "votes-per-s": 150.0,
        "votes-to-hold": 0,
        "votes-to-revert": 1,
    }
    return rollout | changed


def launceston() -> dict[str, Any]:
    """launceston-orders: lists are asked for, cancelling stops nothing, and 500 ms of grace for drains."""
    return _settings(
        discovery="subscribe",
        bounds=_bounds(),
        rules=_rules(),
        **{"family-info": _rollout()},
        classes=[
            _request_class("menu-price", "pure", 1500.0, 5000.0, 3.0),
            _request_class("place-order", "token", 1000.0, 2500.0, 3.0),
            _request_class("send-kitchen", "side_effect", 1000.0, 2500.0, 2.0),
        ],
    )


def burnie() -> dict[str, Any]:
    """burnie-orders: lists are pushed, and 500 ms of grace for drains."""
    rollout = _rollout(
        **{
            "api-timeout-ms": 1200.0,
            "ballot-ttl-ms": 10_000.0,
            "caps": [0.06, 0.24, 0.6, 1.0],
            "exposure-window-ms": 2000.0,
            "free": 3.0,
            "steps": [0.05, 0.2, 0.5, 1.0],
        }
    )
    return _settings(
        discovery="automatic",
        bounds=_bounds(**{"most-tries": 4, "retry-after": False, "probing": True}),
        rules=_rules(**{"cold-from": 0.38, "cold-ms": 4700.0, "tip-after-ms": 3000.0}),
        **{"family-info": rollout},
        classes=[
            _request_class("menu-fetch", "pure", 600.0, 2000.0, 1.0),
            _request_class("cart-save", "pure", 800.0, 2000.0, 1.0),
            _request_class("order-place", "side_effect", 800.0, 2500.0, 5.0),
        ],
    )


def hobart() -> dict[str, Any]:
    """hobart-zones: lists are asked for, no probes, and 2 s of grace for drains."""
    rollout = _rollout(
        **{
            "api-timeout-ms": 1200.0,
            "ballot-ttl-ms": 6000.0,
            "caps": [0.051, 0.204, 0.68, 1.0],
            "free": 3.0,
            "gate-mode": "any",
            "news-period-ms": 6000.0,
            "on-votes": 1,
            "one-way": True,
            "steps": [0.03, 0.12, 0.4, 1.0],
            "style": "beside",
            "votes-per-s": 50.0,
        }
    )
    return _settings(
        discovery="subscribe",
        bounds=_bounds(**{"most-tries": 6, "may-duplicate": True, "probing": False}),
        rules=_rules(**{"cold-from": 0.4, "fall-multiple": 2.0, "stop-sending-within-ms": 2000.0}),
        **{"family-info": rollout},
        classes=[
            _request_class("address-check", "pure", 1000.0, 3000.0, 3.0),
            _request_class("zone-change", "side_effect", 800.0, 2000.0, 9.0),
        ],
    )
