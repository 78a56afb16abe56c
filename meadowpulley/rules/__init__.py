"""The five rules as invariants over a trace, for every rig: emulator, stand-ins on loopback, model checker.

Reading order: `trace` (what a rig writes down), `figures`, `checker` (what must hold of it), `together` (what
must hold of gateways that stand in for each other).
"""

from meadowpulley.rules.checker import TraceChecker, Violation
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
