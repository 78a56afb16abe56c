"""Typed events that the policy and the stages write to the gateway's log.

`event_name` is the name of the event in the log; the fields have the same names in the log. `log_wording`
writes an event as one sentence, for hosts with a plain text log.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar, TypeAlias


class RollbackReason(Enum):
    """The reason why a gateway votes to roll a build back."""

    FAILURES = "failures"  # the build fails more often than its baseline
    LATENCY = "latency"  # the build is slower than its baseline by more than the margin
    SHARED_SLOWDOWN = "shared_slowdown"  # all builds are slow while the build gets traffic
    SLOW_WITHOUT_BASELINE = "slow_without_baseline"  # all servers stay slow, and none runs an earlier build


@dataclass(frozen=True, slots=True)
class BuildRejected:
    """This gateway votes from now on to roll a build back; the fields hold the reason and measurements."""

    event_name: ClassVar[str] = "build_rejected"

    build: int
    reason: RollbackReason
    # For the reason FAILURES: evidence divided by the required evidence; a build is rejected at 1 or more.
    evidence_ratio: float | None = None
    # For the reason LATENCY: confidence interval of the latency that the build adds, from low to high.
    slowdown_low_ms: float | None = None
    slowdown_high_ms: float | None = None
    # For the reason LATENCY: added latency up to which a build is accepted.
    margin_ms: float | None = None
    # For SHARED_SLOWDOWN and SLOW_WITHOUT_BASELINE: mean latency before the servers became slow.
    baseline_latency_ms: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointListExpired:
    """The endpoint list's lease has ended: only servers confirmed by other gateways get requests."""

    event_name: ClassVar[str] = "endpoint_list_expired"

    age_ms: float  # age of the endpoint list, which contains all changes up to this many ms ago


@dataclass(frozen=True, slots=True)
class EndpointListRenewed:
    """The lease on the endpoint list was renewed, so that the list may be used again."""

    event_name: ClassVar[str] = "endpoint_list_renewed"

    age_ms: float  # age of the endpoint list, which contains all changes up to this many ms ago


@dataclass(frozen=True, slots=True)
class LedgerRecordIgnored:
    """A record of the ledger cannot be decoded and was left unchanged."""

    event_name: ClassVar[str] = "ledger_record_ignored"

    stage: str
    key: str
    reason: str
    # Incarnation that wrote the record. It is given for a record in the ledger's changes, and None for a
    # record that was found when its key was read or written.
    writer: str | None = None


@dataclass(frozen=True, slots=True)
class AdoptionFailed:
    """A request of a lost gateway cannot be adopted because its content is missing."""

    event_name: ClassVar[str] = "adoption_failed"

    request_id: str


@dataclass(frozen=True, slots=True)
class GatewayIndexConflict:
    """Another gateway lends and borrows quota under the index of this gateway."""

    event_name: ClassVar[str] = "gateway_index_conflict"

    gateway_index: int
    other_incarnation: str


@dataclass(frozen=True, slots=True)
class QuotaPlanInvalid:
    """The quota plan in the ledger is invalid; the previous plan stays in force."""

    event_name: ClassVar[str] = "quota_plan_invalid"

    reason: str


@dataclass(frozen=True, slots=True)
class QuotaPlanConflict:
    """The settings' quota plan differs from the ledger's plan of the same version, which is in force."""

    event_name: ClassVar[str] = "quota_plan_conflict"

    version: int


@dataclass(frozen=True, slots=True)
class ExperimentVersionConflict:
    """The experiment in this gateway's file differs from the experiment that the fleet runs."""

    event_name: ClassVar[str] = "experiment_version_conflict"

    experiment: str
    own_digest: str
    running_digest: str


@dataclass(frozen=True, slots=True)
class ExperimentArmHarmful:
    """An arm of a placement experiment costs more than the experiment's guard allows."""

    event_name: ClassVar[str] = "experiment_arm_harmful"

    experiment: str
    reason: str


@dataclass(frozen=True, slots=True)
class ExperimentArmEnded:
    """An arm of a placement experiment gets no more requests."""

    event_name: ClassVar[str] = "experiment_arm_ended"

    experiment: str
    arm: str


@dataclass(frozen=True, slots=True)
class ExperimentFinished:
    """A placement experiment has ended."""

    event_name: ClassVar[str] = "experiment_finished"

    experiment: str


LogEvent: TypeAlias = (
    BuildRejected
    | EndpointListExpired
    | EndpointListRenewed
    | LedgerRecordIgnored
    | AdoptionFailed
    | GatewayIndexConflict
    | QuotaPlanInvalid
    | QuotaPlanConflict
    | ExperimentVersionConflict
    | ExperimentArmHarmful
    | ExperimentArmEnded
    | ExperimentFinished
)

LOG_EVENT_TYPES: tuple[type[LogEvent], ...] = (
    BuildRejected,
    EndpointListExpired,
    EndpointListRenewed,
    LedgerRecordIgnored,
    AdoptionFailed,
    GatewayIndexConflict,
    QuotaPlanInvalid,
    QuotaPlanConflict,
    ExperimentVersionConflict,
    ExperimentArmHarmful,
    ExperimentArmEnded,
    ExperimentFinished,
)
