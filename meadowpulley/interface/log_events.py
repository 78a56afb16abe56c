"""What decisions and stages have to say to the gateway's log: typed events with their facts as fields.

`event_name` is the name of the event in the log, the fields are its fields there. `log_wording` puts an event
into one sentence for hosts whose log takes text.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar, TypeAlias


class RollbackReason(Enum):
    """Why a gateway votes to roll a build back."""

    FAILURES = "failures"  # it fails more than its baseline
    LATENCY = "latency"  # it is slower than its baseline by more than the margin
    SHARED_SLOWDOWN = "shared_slowdown"  # all builds are slow while it has traffic
    SLOW_WITHOUT_BASELINE = "slow_without_baseline"  # all stays slow, and no earlier build is left


@dataclass(frozen=True, slots=True)
class BuildRejected:
    """This gateway votes from now on to roll a build back. The figures are those that the reason rests on."""

    event_name: ClassVar[str] = "build_rejected"

    build: int
    reason: RollbackReason
    evidence_ratio: float | None = None  # FAILURES: evidence over what is required; 1 and more reject a build
    slowdown_low_ms: float | None = None  # LATENCY: the confidence interval of the added latency
    slowdown_high_ms: float | None = None
    margin_ms: float | None = None  # LATENCY: added latency up to which a build is accepted
    baseline_latency_ms: float | None = None  # the slowdowns of all servers: the mean latency before


@dataclass(frozen=True, slots=True)
class EndpointListExpired:
    """The lease on the endpoint list has ended: only servers that other gateways confirm may be sent to."""

    event_name: ClassVar[str] = "endpoint_list_expired"

    age_ms: float  # since discovery was asked for it


@dataclass(frozen=True, slots=True)
class EndpointListRenewed:
    """The endpoint list may be acted on again."""

    event_name: ClassVar[str] = "endpoint_list_renewed"

    age_ms: float  # since discovery was asked for it


@dataclass(frozen=True, slots=True)
class LedgerRecordIgnored:
    """A record of the ledger can't be decoded; it was left as it is."""

    event_name: ClassVar[str] = "ledger_record_ignored"

    stage: str
    key: str
    reason: str
    writer: str | None = None  # the incarnation that wrote it, where that tells more than the key


@dataclass(frozen=True, slots=True)
class AdoptionFailed:
    """A request of a lost gateway can't be taken over, as what its client sent is missing."""

    event_name: ClassVar[str] = "adoption_failed"

    request_id: str


@dataclass(frozen=True, slots=True)
class GatewayIndexConflict:
    """Another gateway lends and borrows under the index of this one."""

    event_name: ClassVar[str] = "gateway_index_conflict"

    gateway_index: int
    other_incarnation: str


@dataclass(frozen=True, slots=True)
class QuotaPlanInvalid:
    """The ledger's plan of quotas can't be used; the plan before it stays in force."""

    event_name: ClassVar[str] = "quota_plan_invalid"

    reason: str


@dataclass(frozen=True, slots=True)
class QuotaPlanConflict:
    """The plan of the settings differs from the ledger's under the same version; the ledger's is in force."""

    event_name: ClassVar[str] = "quota_plan_conflict"

    version: int


@dataclass(frozen=True, slots=True)
class ExperimentVersionConflict:
    """The experiment of this gateway's file is not the one that the fleet runs."""

    event_name: ClassVar[str] = "experiment_version_conflict"

    experiment: str
    own_digest: str
    running_digest: str


@dataclass(frozen=True, slots=True)
class ExperimentArmHarmful:
    """An arm of an experiment on placements costs more than the guard allows."""

    event_name: ClassVar[str] = "experiment_arm_harmful"

    experiment: str
    reason: str


@dataclass(frozen=True, slots=True)
class ExperimentArmEnded:
    """An arm of an experiment on placements gets no more requests."""

    event_name: ClassVar[str] = "experiment_arm_ended"

    experiment: str
    arm: str


@dataclass(frozen=True, slots=True)
class ExperimentFinished:
    """An experiment on placements has ended."""

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
