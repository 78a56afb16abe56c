"""Checks the five rules as invariants over a trace.

The emulator, the loopback test bed and the model checker use this package.

Reading order: `trace` (the records), `parameters` (limits of the rules), `violations`, `observations` (state
derived from the records), `checker` with `response_rule`, `effect_rule`, `endpoint_rule` and `exposure_rule`
(invariants of each gateway), `shared_state` (invariants across gateways that take over each other's
requests), `errors`.
"""

from meadowpulley.rules.checker import TraceChecker
from meadowpulley.rules.parameters import RuleParameters
from meadowpulley.rules.shared_state import SharedStateParameters
from meadowpulley.rules.trace import (
    PHASE_NAMES,
    STATE_NAMES,
    AdoptionStarted,
    AttemptEnded,
    AttemptSent,
    CapacityUsed,
    ClientDetached,
    EndpointListed,
    GatewayCrashed,
    GatewayFenced,
    GatewayPaused,
    GatewayResumed,
    GatewayStarted,
    InstanceOverloaded,
    KeyAnswered,
    OutcomeCounted,
    Record,
    RequestAbandoned,
    RequestClaimed,
    RequestClosed,
    RequestReceived,
    RequestRecorded,
    RequestReleased,
    ResponseSent,
    RolloutUpdated,
    read_trace,
    trace_line,
)
from meadowpulley.rules.violations import Violation

__all__ = [
    "PHASE_NAMES",
    "STATE_NAMES",
    "AdoptionStarted",
    "AttemptEnded",
    "AttemptSent",
    "CapacityUsed",
    "ClientDetached",
    "EndpointListed",
    "GatewayCrashed",
    "GatewayFenced",
    "GatewayPaused",
    "GatewayResumed",
    "GatewayStarted",
    "InstanceOverloaded",
    "KeyAnswered",
    "OutcomeCounted",
    "Record",
    "RequestAbandoned",
    "RequestClaimed",
    "RequestClosed",
    "RequestReceived",
    "RequestRecorded",
    "RequestReleased",
    "ResponseSent",
    "RolloutUpdated",
    "RuleParameters",
    "SharedStateParameters",
    "TraceChecker",
    "Violation",
    "read_trace",
    "trace_line",
]
