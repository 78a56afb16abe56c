"""Read a gateway's settings from JSON, for the simulator adapter and for the real gateway.

Unknown keys are ignored, since later versions of the platform may add keys. Missing keys take a default
value.
"""

from __future__ import annotations

import json

from meadowpulley.settings.object_reader import NO_MINIMUM, ObjectReader, SettingsError
from meadowpulley.settings.types import (
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

_EFFECTS_BY_WORD = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.IDEMPOTENT_WITH_KEY,
    "side_effect": Effect.NON_IDEMPOTENT,
}
LOAD_REPORT_COLUMNS = {  # maps the platform's column names of load reports to the policy's names
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "cpu",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "failed_per_s",
}
_WEIGHT_SOURCES = {"off": "none"}


def _read_request_class(reader: ObjectReader) -> RequestClass:
    scopes = {scope.value: scope for scope in DeduplicationScope}
    return RequestClass(
        name=reader.string("name"),
        latency_objective_ms=reader.number("target-ms"),
        deadline_ms=reader.number("hard-limit-ms"),
        effect=reader.choice("repeat", _EFFECTS_BY_WORD, Effect.NON_IDEMPOTENT),
        deduplication_scope=reader.choice("group", scopes, DeduplicationScope.ALL),
        deduplication_window_ms=reader.number("dedup-window-ms"),
        priority_weight=reader.number("worth", 1.0),
        late_priority_weight=reader.number("late-worth"),
        stream=reader.boolean("stream"),
        objective_stretch=reader.number("aim-stretch"),
    )


def _read_rollout(reader: ObjectReader) -> Rollout:
    gates = {gate.value: gate for gate in StageGate}
    return Rollout(
        gate=reader.choice("gate-mode", gates, StageGate.ANY),
        in_place=reader.choice("style", {"beside": False, "in_place": True}, False),
        stage_shares=reader.number_array("steps"),
        caps=reader.number_array("caps"),
        soak_ms=reader.number("soak-ms"),
        stage_time_ms=reader.number("stage-time-ms"),
        advance_votes=reader.integer("on-votes"),
        hold_votes=reader.integer("votes-to-hold"),
        rollback_votes=reader.integer("votes-to-revert"),
        vote_ttl_ms=reader.number("ballot-ttl-ms"),
        votes_per_s=reader.number("votes-per-s"),
        call_timeout_ms=reader.number("api-timeout-ms"),
        update_period_ms=reader.number("news-period-ms"),
        statistics_period_ms=reader.number("metrics-period-ms"),
        statistics_sample=reader.number("sampled-share"),
        reported_share=reader.number("reported-share"),
        exposure_window_ms=reader.number("exposure-window-ms"),
        exposure_allowance=reader.number("free"),
        exposure_per_class=reader.choice("per", {"all": False, "class": True}, False),
        guarded_stages=reader.integer("safe-only-stages"),
        monotonic_keys=reader.boolean("one-way"),
        warm_keys=reader.boolean("warm-keys"),
        lag_price=reader.number("behind-price"),
        harm_price=reader.number("blast-price"),
    )


def _read_request_classes(reader: ObjectReader) -> tuple[RequestClass, ...]:
    """Read the request classes, whose names must be unique.

    A request names its class in the first part of its path.
    """
    classes = dict[str, RequestClass]()
    for class_reader in reader.objects("classes"):
        request_class = _read_request_class(class_reader)
        name = request_class.name
        if not name:
            raise class_reader.error("name", "is missing")
        if name in classes:
            raise class_reader.error("name", f"is '{name}', but another class already has this name")
        if not request_class.deadline_ms:
            raise class_reader.error(
                "hard-limit-ms", "is 0, but must be above 0: no response could arrive in time"
            )
        classes[name] = request_class
    return tuple(classes.values())


def _read_tenant(reader: ObjectReader) -> Tenant:
    return Tenant(
        name=reader.string("name"),
        share=reader.number("share"),
        quota_per_s=reader.number("quota-rps"),
    )


def _read_rules(reader: ObjectReader) -> Rules:
    return Rules(
        response_slack_ms=reader.number("answer-slack-ms"),
        max_poll_interval_ms=reader.number("ask-within-ms"),
        slow_start_initial_fraction=reader.number("cold-from", 1.0),
        slow_start_ms=reader.number("cold-ms"),
        overload_multiple=reader.number("fall-multiple", 1.0),
        overload_window_ms=reader.number("tip-after-ms"),
        drain_grace_ms=reader.number("stop-sending-within-ms"),
    )


def _read_limits(reader: ObjectReader) -> Limits:
    return Limits(
        max_attempts=reader.integer("most-tries", 1, minimum=1),
        hedging=reader.boolean("may-duplicate"),
        cancellation=reader.boolean("cancelling"),
        probes=reader.boolean("probing"),
        gossip=reader.boolean("may-tell"),
        retry_after=reader.boolean("retry-after"),
        max_retry_after_ms=reader.number("max-retry-after-ms"),
        connect_timeout_ms=reader.number("connect-timeout-ms"),
        max_open_connections=reader.integer("max-open"),
        idle_timeout_ms=reader.number("conn-idle-ms"),
    )


def parse_settings(encoded: bytes, location: str) -> Settings:
    """Parse the settings from JSON text. Raises SettingsError if the text is invalid."""
    try:
        loaded = json.loads(encoded)
    except (ValueError, RecursionError) as error:
        problem = f"are not valid JSON: {error}"
        raise SettingsError(f"{location}: settings", problem) from None
    return read_settings(loaded, location)


def read_settings(loaded: object, location: str) -> Settings:
    """Read the settings from a decoded JSON value. Raises SettingsError if the value is invalid.

    This gateway's index is taken modulo the number of gateways, so that delays computed from it stay within
    the range of the other gateways' delays.
    """
    reader = ObjectReader(loaded, f"{location}: settings")
    report_reader = reader.nested("report")
    columns = [str(name) for name in report_reader.array("columns")]
    gateway_count = max(reader.integer("balancers", 1, NO_MINIMUM), 1)
    return Settings(
        gateway_index=reader.integer("me", 0, NO_MINIMUM) % gateway_count,
        gateway_count=gateway_count,
        zone=reader.integer("az", 0, NO_MINIMUM),
        zones=tuple(str(name) for name in reader.array("zones")),
        kinds=tuple(str(name) for name in reader.array("machine-types")),
        tick_ms=reader.number("period-ms"),
        classes=_read_request_classes(reader),
        tenants=tuple(_read_tenant(tenant_reader) for tenant_reader in reader.objects("tenants")),
        rules=_read_rules(reader.nested("rules")),
        limits=_read_limits(reader.nested("bounds")),
        rollout=_read_rollout(reader.nested("family-info")),
        must_poll=reader.choice("discovery", {"automatic": False, "subscribe": True}, False),
        report_columns=tuple(LOAD_REPORT_COLUMNS.get(name, name) for name in columns),
        inline_load_reports=report_reader.string("source") == "inline",
        weights=_WEIGHT_SOURCES.get(reader.string("weight-source"), reader.string("weight-source", "none")),
        weight_by_work=reader.string("worth-by") == "work",
        over_share_weight=reader.number("over-share-worth", 1.0),
        prices=reader.nested("prices").number_items(),
        goal=reader.nested("score-parts").number_items(),
    )
