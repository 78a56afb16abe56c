"""Log events as one sentence each, for a plain text log, and as fields, for a structured log."""

from __future__ import annotations

from dataclasses import fields
from enum import Enum

from meadowpulley.interface.log_events import (
    AdoptionFailed,
    BuildRejected,
    EndpointListExpired,
    EndpointListRenewed,
    ExperimentArmEnded,
    ExperimentArmHarmful,
    ExperimentFinished,
    ExperimentVersionConflict,
    GatewayIndexConflict,
    LedgerRecordIgnored,
    LogEvent,
    QuotaPlanConflict,
    QuotaPlanInvalid,
    RollbackReason,
)


def log_fields(event: LogEvent) -> dict[str, object]:
    """Return an event's fields for a structured log.

    Enum members are replaced by their values, and fields that are None are left out.
    """
    values = {field.name: getattr(event, field.name) for field in fields(event)}
    return {
        name: value.value if isinstance(value, Enum) else value
        for name, value in values.items()
        if value is not None
    }


def log_text(event: LogEvent) -> str:
    """Return an event as one sentence."""
    match event:
        case BuildRejected():
            return f"back {event.build}: {_rollback_text(event)}"
        case EndpointListExpired(age_ms):
            return f"endpoint list expired, {age_ms:.0f} ms old"
        case EndpointListRenewed():
            return "endpoint list in use again"
        case GatewayIndexConflict(index, other):
            problem = f"lending: gateway number {index} is also in use by gateway '{other}'"
            return f"{problem}: give each gateway a number of its own"
        case QuotaPlanInvalid(reason):
            return f"{reason}; the previous quota plan stays in force"
        case QuotaPlanConflict(version):
            return (
                f"lending: the ledger and these settings hold different quota plans of version {version}; "
                "the ledger's plan stays in force: raise the version in the settings to replace it"
            )
        case LedgerRecordIgnored(stage, key, reason, writer):
            source = f" written by {writer}" if writer is not None else ""
            return f"{stage}: ledger record {key!r}{source} was left alone: {reason}"
        case AdoptionFailed(request_id):
            return f"takeover: request {request_id!r} cannot be adopted: its content is missing"
        case _:
            return f"experiment '{event.experiment}': {_experiment_text(event)}"


def _rollback_text(event: BuildRejected) -> str:
    match event.reason:
        case RollbackReason.FAILURES:
            return f"fails more than the earlier build, proof {event.evidence_ratio:.1f}"
        case RollbackReason.LATENCY:
            bounds = f"{event.slowdown_low_ms:.0f} to {event.slowdown_high_ms:.0f} ms"
            return f"slower by {bounds}, margin {event.margin_ms:.0f}"
        case RollbackReason.SHARED_SLOWDOWN:
            return f"both builds slow with its traffic, usually {event.baseline_latency_ms:.0f} ms"
        case RollbackReason.SLOW_WITHOUT_BASELINE:
            return f"slow since the earlier build has gone, usually {event.baseline_latency_ms:.0f} ms"


def _experiment_text(
    event: ExperimentVersionConflict | ExperimentArmHarmful | ExperimentArmEnded | ExperimentFinished,
) -> str:
    match event:
        case ExperimentVersionConflict(_, own, running):
            return (
                f"version {own[:8]} is not the fleet's ({running[:8]}), so its counts are kept separately; "
                "start this gateway with the fleet's experiment file"
            )
        case ExperimentArmHarmful(_, reason):
            return reason
        case ExperimentArmEnded(_, arm):
            return f"arm '{arm}' has ended"
        case ExperimentFinished():
            return "the experiment is over"
