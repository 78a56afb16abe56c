"""The settings object that a balancer is given, read alike by the simulator's adapter and the gateway."""

from __future__ import annotations

import json
import math
import sys
from typing import Any

from meadowpulley.interface import (
    DeduplicationScope,
    Effect,
    Limits,
    RequestClass,
    Rollout,
    Rules,
    Settings,
    StageGate,
    Tenant,
)


class SettingsError(ValueError):
    """A malformed settings object; the text says what is wrong and where."""


_EFFECTS = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.IDEMPOTENT_WITH_KEY,
    "side_effect": Effect.NON_IDEMPOTENT,
}
COLUMNS = {
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "cpu",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "failed_per_s",
}
_WEIGHTS = {"off": "none"}
NO_LEAST = -sys.float_info.max  # taken as something else, and doubted by the gateway


class Fields:
    """Reads one settings object: unknown keys are passed over, absent ones take the given value."""

    def __init__(self, raw: Any, where: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"{where} is no object")
        self._raw: dict[str, Any] = raw
        self._where = where

    def _take(self, key: str, default: Any, kinds: tuple[type, ...]) -> Any:
        value = self._raw.get(key)
        if value is None:
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise self.wrong(key, f"has the wrong type ({type(value).__name__})")
        return value

    def wrong(self, key: str, what: str) -> SettingsError:
        return SettingsError(f"{self._where}: '{key}' {what}")

    def number(self, key: str, default: float = 0.0, least: float = 0.0) -> float:
        """JSON's reader lets NaN and Infinity pass, and whole numbers that no float can hold."""
        try:
            value = float(self._take(key, default, (int, float)))
        except OverflowError:
            value = math.inf
        if not least <= value < math.inf:
            raise self.wrong(key, f"is {value:g}, no figure of {least:g} or more")
        return value

    def whole(self, key: str, default: int = 0, least: float = 0.0) -> int:
        return int(self.number(key, default, least))

    def flag(self, key: str) -> bool:
        return bool(self._take(key, False, (bool,)))

    def text(self, key: str, default: str = "") -> str:
        return str(self._take(key, default, (str,)))

    def items(self, key: str) -> list[Any]:
        return list(self._take(key, [], (list,)))

    def numbers(self, key: str) -> tuple[float, ...]:
        values = self.items(key)
        if not all(isinstance(value, int | float) for value in values):
            raise self.wrong(key, "holds something that is no number")
        return tuple(Fields({key: value}, self._where).number(key) for value in values)

    def inner(self, key: str) -> Fields:
        return Fields(self._take(key, {}, (dict,)), f"{self._where}: '{key}'")

    def each(self, key: str) -> list[Fields]:
        return [Fields(raw, f"{self._where}: '{key}' {n}") for n, raw in enumerate(self.items(key))]

    def choice(self, key: str, known: dict[str, Any], default: Any) -> Any:
        name = self.text(key)
        if name and name not in known:
            raise self.wrong(key, f"is '{name}', not one of {', '.join(known)}")
        return known[name] if name else default

    def pairs(self) -> tuple[tuple[str, float], ...]:
        named = [key for key, value in sorted(self._raw.items()) if type(value) in (int, float)]
        return tuple((key, self.number(key, least=NO_LEAST)) for key in named)


def _class(f: Fields) -> RequestClass:
    groups = {group.value: group for group in DeduplicationScope}
    return RequestClass(
        name=f.text("name"),
        latency_objective_ms=f.number("target-ms"),
        deadline_ms=f.number("hard-limit-ms"),
        effect=f.choice("repeat", _EFFECTS, Effect.NON_IDEMPOTENT),
        deduplication_scope=f.choice("group", groups, DeduplicationScope.ALL),
        deduplication_window_ms=f.number("dedup-window-ms"),
        priority_weight=f.number("worth", 1.0),
        late_priority_weight=f.number("late-worth"),
        stream=f.flag("stream"),
        objective_stretch=f.number("aim-stretch"),
    )


def _rollout(f: Fields) -> Rollout:
    gates = {gate.value: gate for gate in StageGate}
    return Rollout(
        gate=f.choice("gate-mode", gates, StageGate.ANY),
        in_place=f.choice("style", {"beside": False, "in_place": True}, False),
        stage_shares=f.numbers("steps"),
        caps=f.numbers("caps"),
        soak_ms=f.number("soak-ms"),
        stage_time_ms=f.number("stage-time-ms"),
        advance_votes=f.whole("on-votes"),
        hold_votes=f.whole("votes-to-hold"),
        rollback_votes=f.whole("votes-to-revert"),
        vote_ttl_ms=f.number("ballot-ttl-ms"),
        votes_per_s=f.number("votes-per-s"),
        call_timeout_ms=f.number("api-timeout-ms"),
        update_period_ms=f.number("news-period-ms"),
        statistics_period_ms=f.number("metrics-period-ms"),
        statistics_sample=f.number("sampled-share"),
        reported_share=f.number("reported-share"),
        exposure_window_ms=f.number("exposure-window-ms"),
        exposure_allowance=f.number("free"),
        exposure_per_class=f.choice("per", {"all": False, "class": True}, False),
        guarded_stages=f.whole("safe-only-stages"),
        monotonic_keys=f.flag("one-way"),
        warm_keys=f.flag("warm-keys"),
        lag_price=f.number("behind-price"),
        harm_price=f.number("blast-price"),
    )


def _classes(f: Fields) -> tuple[RequestClass, ...]:
    """Each found by its name, as the first part of a path: none without one, and no two with the same."""
    found = dict[str, RequestClass]()
    for one in f.each("classes"):
        cls = _class(one)
        if not cls.name or cls.name in found:
            raise one.wrong("name", f"is '{cls.name}', that of another class" if cls.name else "is missing")
        if not cls.deadline_ms:
            raise one.wrong("hard-limit-ms", "is 0: no answer could come in time")
        found[cls.name] = cls
    return tuple(found.values())


def parse_settings(raw: bytes, where: str) -> Settings:
    try:
        loaded = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{where}: settings are no JSON: {error}") from None
    return read_settings(loaded, where)


def read_settings(loaded: Any, where: str) -> Settings:
    f = Fields(loaded, f"{where}: settings")
    rules, bounds, report = f.inner("rules"), f.inner("bounds"), f.inner("report")
    columns = [str(name) for name in report.items("columns")]
    balancers = max(f.whole("balancers", 1, NO_LEAST), 1)
    return Settings(
        gateway_index=f.whole("me", 0, NO_LEAST)
        % balancers,  # waits and windows by the number must not be below none
        gateway_count=balancers,
        zone=f.whole("az", 0, NO_LEAST),
        zones=tuple(str(name) for name in f.items("zones")),
        kinds=tuple(str(name) for name in f.items("machine-types")),
        tick_ms=f.number("period-ms"),
        classes=_classes(f),
        tenants=tuple(
            Tenant(t.text("name"), t.number("share"), t.number("quota-rps")) for t in f.each("tenants")
        ),
        rules=Rules(
            response_slack_ms=rules.number("answer-slack-ms"),
            max_poll_interval_ms=rules.number("ask-within-ms"),
            slow_start_initial_fraction=rules.number("cold-from", 1.0),
            slow_start_ms=rules.number("cold-ms"),
            overload_multiple=rules.number("fall-multiple", 1.0),
            overload_window_ms=rules.number("tip-after-ms"),
            drain_grace_ms=rules.number("stop-sending-within-ms"),
        ),
        limits=Limits(
            max_attempts=bounds.whole("most-tries", 1, least=1),
            hedging=bounds.flag("may-duplicate"),
            cancellation=bounds.flag("cancelling"),
            probes=bounds.flag("probing"),
            gossip=bounds.flag("may-tell"),
            retry_after=bounds.flag("retry-after"),
            max_retry_after_ms=bounds.number("max-retry-after-ms"),
            connect_timeout_ms=bounds.number("connect-timeout-ms"),
            max_open_connections=bounds.whole("max-open"),
            idle_timeout_ms=bounds.number("conn-idle-ms"),
        ),
        rollout=_rollout(f.inner("family-info")),
        must_poll=f.choice("discovery", {"automatic": False, "subscribe": True}, False),
        report_columns=tuple(COLUMNS.get(name, name) for name in columns),
        inline_load_reports=report.text("source") == "inline",
        weights=_WEIGHTS.get(f.text("weight-source"), f.text("weight-source", "none")),
        weight_by_work=f.text("worth-by") == "work",
        over_share_weight=f.number("over-share-worth", 1.0),
        prices=f.inner("prices").pairs(),
        goal=f.inner("score-parts").pairs(),
    )
